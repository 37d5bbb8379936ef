/** Brings one version onto the engine: digests, pieces, verification, turn, order. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import type {ChunkFetcher} from '../chunk-fetcher.js';
import type {ChunkStore} from '../chunk-store.js';
import {transferVersion} from '../version-transfer.js';
import {LOAD_TIMEOUT_MS, STEP_RETRY_MS, SWITCH_NOTICE_MS, VERIFICATION_LIFE_MS} from './constants.js';
import type {IndexedOrigin} from './indexed-origin.js';
import type {Stage} from './stage.js';
import {toStagedManifest, type StagedManifest} from './staged-manifest.js';
import type {HeldVersion, StagedEngine, StagedEngineState, VersionedOrigin} from './types.js';

export type StagedRolloutOptions = {
	readonly engine: StagedEngine;
	readonly origin: () => VersionedOrigin | undefined;
	readonly pieces: IndexedOrigin;
	readonly store: ChunkStore;
	readonly fetcher: ChunkFetcher;
	readonly stage: Stage;

	/** The engine's last state; nothing while it is down. */
	readonly state: () => StagedEngineState | undefined;

	/** Reads the engine's state now. */
	readonly refresh: () => Promise<StagedEngineState | undefined>;

	/** Whether this engine may switch now, as far as the others are known. */
	readonly isTurn: (manifest: StagedManifest) => boolean;

	/** Tells entries that the engine switches, or no longer does. */
	readonly onSwitching: (isSwitching: boolean) => void;

	/** Called with the manifest when the transfer begins. */
	readonly onManifest: (manifest: StagedManifest) => void;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

const isHeld = (state: StagedEngineState | undefined, {name, version}: HeldVersion): boolean =>
	state?.model?.name === name && state.model.version === version;

/** Runs until the engine holds the version or the signal aborts. Each step is repeated until it succeeds. */
export const rollOutStaged = async (target: HeldVersion, options: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	const {clock, log, metrics, store, stage, fetcher, pieces} = options;
	const startedAt = clock.monotonic();
	const manifest = await readManifest(target, options, signal);
	if (!manifest) {
		return;
	}

	const retained = store.retain(manifest.hash, manifest.manifest);
	if (retained.err) {
		log.error(retained.val.message, {model: target.name, version: target.version});
		return;
	}

	for (const hash of store.retained) {
		if (hash !== manifest.hash) {
			store.release(hash);
		}
	}

	pieces.register(manifest);
	options.onManifest(manifest);
	const adopted = await stage.adopt(manifest, signal);
	await transferVersion({
		...manifest, store, fetcher, signal,
		onChunk({hash}) {
			if (adopted < manifest.manifest.chunks.length) {
				void stage.put(manifest, hash);
			}
		},
	});
	if (signal.aborted) {
		return;
	}

	log.info('All pieces are held.', {
		model: target.name, version: target.version, adopted, milliseconds: Math.round(clock.monotonic() - startedAt),
	});
	while (!signal.aborted && !isHeld(await options.refresh(), target)) {
		await switchOnce(target, manifest, options, signal);
	}

	if (!signal.aborted) {
		metrics.timing('weights.rollout', clock.monotonic() - startedAt);
		log.audit('Version is loaded.', {model: target.name, version: target.version, milliseconds: Math.round(clock.monotonic() - startedAt)});
	}
};

const readManifest = async ({name, version}: HeldVersion, {origin, clock, log}: StagedRolloutOptions, signal: AbortSignal): Promise<StagedManifest | undefined> => {
	while (!signal.aborted) {
		const digests = await origin()?.digests(name, version);
		const manifest = digests?.ok ? toStagedManifest(digests.val) : undefined;
		if (manifest) {
			return manifest;
		}

		log.warn('The digests of a version cannot be read; trying again.', {
			model: name, version, error: digests?.err ? digests.val.message : 'no usable answer',
		});
		await clock.sleep(STEP_RETRY_MS, signal);
	}

	return undefined;
};

/** One try: waits for the turn, verifies what is staged, orders, and waits for the effect. */
const switchOnce = async (target: HeldVersion, manifest: StagedManifest, options: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	const {engine, stage, clock, log, metrics, onSwitching, isTurn, refresh} = options;
	if (options.state()?.isBusy) {
		await clock.sleep(STEP_RETRY_MS, signal);
		return;
	}

	while (!signal.aborted && options.state()?.model && !isTurn(manifest)) {
		await clock.sleep(STEP_RETRY_MS / 2, signal);
	}

	const verifiedAt = clock.monotonic();
	const check = await stage.verify(manifest, signal);
	if (check.kind !== 'whole') {
		await clock.sleep(check.kind === 'repaired' ? 0 : STEP_RETRY_MS, signal);
		return;
	}

	onSwitching(true);
	try {
		if (options.state()?.model) {
			await clock.sleep(SWITCH_NOTICE_MS, signal);
		}

		const state = await refresh();
		if (signal.aborted || !state || clock.monotonic() - verifiedAt > VERIFICATION_LIFE_MS) {
			await clock.sleep(STEP_RETRY_MS, signal);
			return;
		}

		const outcome = await engine.start({model: target.name, version: target.version, expectedOrders: state.orders});
		log.audit('Order to load a version.', {
			model: target.name, version: target.version, orders: state.orders, outcome: outcome.ok ? outcome.val : outcome.val.kind, running: state.running,
		});
		metrics.count('weights.orders', {outcome: outcome.ok ? outcome.val : outcome.val.kind});
		if (outcome.ok && outcome.val === 'conflict') {
			await clock.sleep(STEP_RETRY_MS, signal);
			return;
		}

		// An order without an answer may have been taken; the report tells.
		await waitForEffect(target, state, options, signal);
	} finally {
		onSwitching(false);
	}
};

/** Waits until the version is held, the engine is idle without it, or it started anew. */
const waitForEffect = async (target: HeldVersion, before: StagedEngineState, {clock, refresh}: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	const until = clock.monotonic() + LOAD_TIMEOUT_MS;
	while (!signal.aborted && clock.monotonic() < until) {
		await clock.sleep(STEP_RETRY_MS / 2, signal);
		const state = await refresh();
		const isOver = !state || isHeld(state, target) || state.startedAt !== before.startedAt || !state.isBusy;
		if (isOver) {
			return;
		}
	}
};
