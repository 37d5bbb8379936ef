/** Brings one version onto the engine: digests, pieces, verification, turn, order. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import type {ChunkFetcher} from '../chunk-fetcher.js';
import type {ChunkStore} from '../chunk-store.js';
import {
	MAX_INTERRUPTED_STREAMS, PEER_DIGEST_RETRY_MS, DRAIN_TIMEOUT_MS, LOAD_TIMEOUT_MS, STEP_RETRY_MS, SWITCH_NOTICE_MS, TRANSFER_LOG_MS, MAX_VERIFICATION_AGE_MS,
} from './constants.js';
import {firstDefined} from './digest-peers.js';
import type {IndexedOrigin} from './indexed-origin.js';
import type {StagingArea} from './staging-area.js';
import {toStagedManifest, type StagedManifest} from './staged-manifest.js';
import {logTransferProgress} from './transfer-log.js';
import {transferStaged} from './staged-transfer.js';
import type {TransferProgress} from './transfer-rate.js';
import type {
	ModelVersion, StagedEngine, StagedEngineState, VersionedOrigin, VersionDigests,
} from './types.js';

export type StagedRolloutOptions = {
	readonly engine: StagedEngine;
	readonly origin: () => VersionedOrigin | undefined;
	readonly pieces: IndexedOrigin;
	readonly store: ChunkStore;
	readonly fetcher: ChunkFetcher;
	readonly stage: StagingArea;

	/** The engine's last state; nothing while it is down. */
	readonly state: () => StagedEngineState | undefined;

	/** Reads the engine's state now. */
	readonly refreshState: () => Promise<StagedEngineState | undefined>;

	readonly selfId: string;

	/** Waits until some members are known. */
	readonly listMembers: () => Promise<void>;

	/** Reads who takes part, so that all members assign the same readers. */
	readonly refreshMembers: () => Promise<void>;

	/** Rate in bytes per second with which a transfer goes on. */
	readonly transferRateFor: (progress: TransferProgress) => number;

	/** Whether this engine may switch now, as its group. */
	readonly isSwitchDue: () => boolean;

	/** Whether all requests that the engine gets may be continued or repeated elsewhere. */
	readonly canInterruptRequests: () => boolean;

	/** Brings `mayCut` up to date. */
	readonly refreshCanInterruptRequests: () => Promise<void>;

	/** Tells entries that the engine switches, or no longer does. */
	readonly onSwitchingChange: (isSwitching: boolean) => void;

	/** Called when the pieces are held that this member reads for its region. */
	readonly onOwnPieces: () => void;

	/** Resolves when the pieces that this member passes on to nobody may be fetched. */
	readonly onTurnToFetch: () => Promise<void>;

	/** Time for which other members are asked for the digests of a version before the origin, in milliseconds. */
	readonly originDigestDelayMs: (version: number) => number;

	/** Asks members for the digests of a version. */
	readonly readPeerDigests: (model: string, version: number) => Promise<VersionDigests | undefined>;

	/** Called when all pieces are held; resolves when the engine is free for this version, or a newer one takes its place. */
	readonly onPieces: () => Promise<void>;

	/** Whether the manifest belongs to a newer version whose transfer has begun; its pieces are kept. */
	readonly isNewer: (manifest: string) => boolean;

	/** Called with the manifest when the transfer begins. */
	readonly onManifest: (manifest: StagedManifest) => void;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

const isHeld = (state: StagedEngineState | undefined, {name, version}: ModelVersion): boolean =>
	state?.model?.name === name && state.model.version === version;

/** Runs until the engine holds the version or the signal aborts. Each step is repeated until it succeeds. */
export const rollOutStaged = async (target: ModelVersion, options: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	const {clock, log, metrics, store, stage, fetcher, pieces} = options;
	const startedAt = clock.monotonic();
	await options.listMembers();
	const manifest = await readManifest(target, options, signal);
	if (!manifest) {
		return;
	}

	const retained = store.retain(manifest.hash, manifest.manifest);
	if (retained.err) {
		log.error(retained.val.message, {model: target.name, version: target.version});
		return;
	}

	pieces.register(manifest);
	// Before anything is awaited: the rollout of an older version releases all manifests but its own and the newest known.
	options.onManifest(manifest);
	const manifestAt = clock.monotonic();
	await options.refreshMembers();
	log.info('The members of the transfer are known.', {
		version: target.version, digestsMs: Math.round(manifestAt - startedAt), membersMs: Math.round(clock.monotonic() - manifestAt),
	});
	const adopted = await stage.importStagedPieces(manifest, signal);
	const totalBytes = manifest.manifest.sizeBytes;
	const transferred = new AbortController();
	void logTransferProgress({
		version: target.version, missing: () => manifest.manifest.chunks.filter(hash => !store.has(hash)).length, awaited: () => fetcher.awaited, clock, log,
	}, AbortSignal.any([transferred.signal, signal]));
	await transferStaged({
		staged: manifest, store, fetcher, selfId: options.selfId, clock, signal,
		bytesPerSecond: remainingBytes => options.transferRateFor({totalBytes, remainingBytes, startedAt}), onRelayedPieces: options.onOwnPieces, waitForOtherTransfers: options.onTurnToFetch,
	});
	transferred.abort();
	if (signal.aborted) {
		store.release(manifest.hash);
		return;
	}

	log.info('All pieces are held.', {
		model: target.name, version: target.version, adopted, originReads: pieces.readCount(target.version), milliseconds: Math.round(clock.monotonic() - startedAt),
	});
	await options.onPieces();
	if (signal.aborted) {
		store.release(manifest.hash);
		return;
	}

	for (const hash of store.retained) {
		if (hash !== manifest.hash && !options.isNewer(hash)) {
			store.release(hash);
		}
	}

	while (!signal.aborted && !isHeld(await options.refreshState(), target)) {
		await trySwitch(target, manifest, options, signal);
	}

	if (!signal.aborted) {
		metrics.timing('weights.rollout', clock.monotonic() - startedAt);
		log.audit('Version is loaded.', {model: target.name, version: target.version, milliseconds: Math.round(clock.monotonic() - startedAt)});
	}
};

/**
Reads the digests until two answers agree. A corrupt answer may be well formed; with a wrong digest the version would
never be complete. Most members ask the few that read the origin: it accepts few connections and has a narrow link.
*/
const readManifest = async ({name, version}: ModelVersion, {origin, readPeerDigests: askDigests, originDigestDelayMs: digestPatienceMs, clock, log}: StagedRolloutOptions, signal: AbortSignal): Promise<StagedManifest | undefined> => {
	const seen = new Set<string>();
	let toldAt = Number.NEGATIVE_INFINITY;
	const originFrom = clock.monotonic() + digestPatienceMs(version);
	while (!signal.aborted) {
		const mayAskOrigin = clock.monotonic() >= originFrom;
		let error = 'no usable answer';
		const readOrigin = async (): Promise<VersionDigests | undefined> => {
			const digests = await origin()?.digests(name, version);
			error = digests?.err ? digests.val.message : error;
			return digests?.ok ? digests.val : undefined;
		};

		// An origin that hangs does not hold up what a member knows by now.
		const told = await firstDefined([...(mayAskOrigin ? [readOrigin()] : []), askDigests(name, version)]);
		const manifest = told && toStagedManifest(told);
		if (manifest && seen.has(manifest.hash)) {
			return manifest;
		}

		if (manifest) {
			seen.add(manifest.hash);
			continue;
		}

		if (mayAskOrigin && clock.monotonic() - toldAt >= TRANSFER_LOG_MS) {
			toldAt = clock.monotonic();
			log.warn('The digests of a version cannot be read; trying again.', {
				model: name, version, error,
			});
		}

		await clock.sleep(mayAskOrigin ? STEP_RETRY_MS : PEER_DIGEST_RETRY_MS, signal);
	}

	return undefined;
};

/** One try: waits for the turn, verifies what is staged, orders, and waits for the effect. */
const trySwitch = async (target: ModelVersion, manifest: StagedManifest, options: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	const {engine, stage, clock, log, metrics, onSwitchingChange: onSwitching, isSwitchDue: isTurn, refreshState: refresh} = options;
	if (options.state()?.isBusy) {
		await clock.sleep(STEP_RETRY_MS, signal);
		return;
	}

	while (!signal.aborted && options.state()?.model && !isTurn()) {
		await clock.sleep(STEP_RETRY_MS / 2, signal);
	}

	const staged = await stage.verify(manifest, signal);
	if (staged.kind === 'incomplete') {
		await clock.sleep(STEP_RETRY_MS, signal);
		return;
	}

	onSwitching(true);
	try {
		await drain(options, signal);
		const verifiedAt = clock.monotonic();
		const check = await stage.verify(manifest, signal);
		const state = await refresh();
		if (signal.aborted || !state || check.kind !== 'whole' || clock.monotonic() - verifiedAt > MAX_VERIFICATION_AGE_MS) {
			await clock.sleep(STEP_RETRY_MS, signal);
			return;
		}

		const cutsRunning = options.canInterruptRequests() && state.running > 0 && state.running <= MAX_INTERRUPTED_STREAMS;
		const outcome = await engine.start({
			model: target.name, version: target.version, expectedOrders: state.orders, cutsRunning,
		});
		log.audit('Order to load a version.', {
			model: target.name, version: target.version, orders: state.orders, outcome: outcome.ok ? outcome.val : outcome.val.kind, running: state.running, cutsRunning,
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

/** Lets the running requests end, as far as the wait is short; entries send no new ones meanwhile. */
const drain = async ({state, refreshState: refresh, clock, canInterruptRequests: mayCut, refreshCanInterruptRequests: refreshMayCut}: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	if (!state()?.model) {
		return;
	}

	const until = clock.monotonic() + DRAIN_TIMEOUT_MS;
	await refreshMayCut();
	do {
		await clock.sleep(SWITCH_NOTICE_MS, signal);
		await refresh();
	} while (!signal.aborted && mayCut() && (state()?.running ?? 0) > MAX_INTERRUPTED_STREAMS && clock.monotonic() < until);
};

/** Waits until the version is held, the engine is idle without it, or it started anew. */
const waitForEffect = async (target: ModelVersion, before: StagedEngineState, {clock, refreshState: refresh}: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
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
