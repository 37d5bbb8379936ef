/**
Brings one version onto the engine. It reads the digests, transfers the pieces, waits for the slot of the engine in the
switch order, verifies the staged pieces and orders the engine to load them.
*/
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
	readonly indexedOrigin: IndexedOrigin;
	readonly chunkStore: ChunkStore;
	readonly chunkFetcher: ChunkFetcher;
	readonly stagingArea: StagingArea;

	/** Last state of the engine; undefined while it does not answer. */
	readonly state: () => StagedEngineState | undefined;

	/** Reads the current state of the engine; undefined when it does not answer. */
	readonly refreshState: () => Promise<StagedEngineState | undefined>;

	readonly selfId: string;

	/** Waits until other members are known. */
	readonly waitForMembers: () => Promise<void>;

	/** Updates the member table, so that all members choose the same relays. */
	readonly refreshMembers: () => Promise<void>;

	/** Rate at which a transfer continues, in bytes per second. */
	readonly transferRateFor: (progress: TransferProgress) => number;

	/** Whether the group of this engine may switch now, with all pieces held since a monotonic time in milliseconds. */
	readonly isSwitchDue: (heldAt: number) => boolean;

	/** Whether all requests to the engine may be interrupted, since other engines can continue or retry them. */
	readonly canInterruptRequests: () => boolean;

	/** Updates the answer of `canInterruptRequests`. */
	readonly refreshCanInterruptRequests: () => Promise<void>;

	/** Reports to the entries whether the engine is about to switch or switching. */
	readonly onSwitchingChange: (isSwitching: boolean) => void;

	/** Called when all pieces that this member relays are held. */
	readonly onOwnPieces: () => void;

	/** Resolves when the pieces that this member does not relay may be fetched. */
	readonly onTurnToFetch: () => Promise<void>;

	/** Time for which only peers are asked for the digests of a version, before the origin is asked too, in milliseconds. */
	readonly originDigestDelayMs: (version: number) => number;

	/** Asks peers for the digests of a version; undefined when none of them knows them. */
	readonly readPeerDigests: (model: string, version: number) => Promise<VersionDigests | undefined>;

	/**
	Called when all pieces are held. Resolves when earlier rollouts have ended, so that the engine is free; the signal is
	then aborted if a newer version replaces this one.
	*/
	readonly onPieces: () => Promise<void>;

	/** Whether the manifest with this hash belongs to a newer version whose transfer has begun; its pieces must be kept. */
	readonly isNewer: (manifest: string) => boolean;

	/** Called when the transfer begins. */
	readonly onManifest: (manifest: StagedManifest) => void;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

const isHeld = (state: StagedEngineState | undefined, {name, version}: ModelVersion): boolean =>
	state?.model?.name === name && state.model.version === version;

/**
Resolves when the engine holds the version, when the chunk store refuses its manifest, or when the signal aborts. Failed
steps are retried.
*/
export const rollOutStaged = async (target: ModelVersion, options: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	const {clock, log, metrics, chunkStore, stagingArea, chunkFetcher, indexedOrigin} = options;
	const startedAt = clock.monotonic();
	await options.waitForMembers();
	const manifest = await readManifest(target, options, signal);
	if (!manifest) {
		return;
	}

	const retained = chunkStore.retain(manifest.hash, manifest.manifest);
	if (retained.err) {
		log.error(retained.val.message, {model: target.name, version: target.version});
		return;
	}

	indexedOrigin.register(manifest);
	// Called before the next await: the rollout of an older version releases every manifest that it does not know to be newer.
	options.onManifest(manifest);
	const manifestReadAt = clock.monotonic();
	// An engine that holds the version needs no pieces, and each read of the list is a call to the store.
	if (!isHeld(options.state(), target)) {
		await options.refreshMembers();
	}

	log.info('Member table is updated for the transfer.', {
		version: target.version, digestsMs: Math.round(manifestReadAt - startedAt), membersMs: Math.round(clock.monotonic() - manifestReadAt),
	});
	const adopted = await stagingArea.importStagedPieces(manifest, signal);
	const totalBytes = manifest.manifest.sizeBytes;
	const transferEnd = new AbortController();
	void logTransferProgress({
		version: target.version, missing: () => manifest.manifest.chunks.filter(hash => !chunkStore.has(hash)).length, awaited: () => chunkFetcher.awaited, clock, log,
	}, AbortSignal.any([transferEnd.signal, signal]));
	await transferStaged({
		staged: manifest, chunkStore, chunkFetcher, selfId: options.selfId, clock, signal,
		bytesPerSecond: remainingBytes => options.transferRateFor({totalBytes, remainingBytes, startedAt}), onRelayedPieces: options.onOwnPieces, waitForOtherTransfers: options.onTurnToFetch,
	});
	transferEnd.abort();
	if (signal.aborted) {
		chunkStore.release(manifest.hash);
		return;
	}

	log.info('All pieces of the version are held.', {
		model: target.name, version: target.version, adopted, originReads: indexedOrigin.readCount(target.version), milliseconds: Math.round(clock.monotonic() - startedAt),
	});
	await options.onPieces();
	if (signal.aborted) {
		chunkStore.release(manifest.hash);
		return;
	}

	for (const hash of chunkStore.retained) {
		if (hash !== manifest.hash && !options.isNewer(hash)) {
			chunkStore.release(hash);
		}
	}

	const heldAt = clock.monotonic();
	while (!signal.aborted && !isHeld(await options.refreshState(), target)) {
		await trySwitch(target, manifest, {...options, heldAt}, signal);
	}

	if (!signal.aborted) {
		metrics.timing('weights.rollout', clock.monotonic() - startedAt);
		log.audit('Version is loaded.', {model: target.name, version: target.version, milliseconds: Math.round(clock.monotonic() - startedAt)});
	}
};

/**
Reads the digests until two answers agree. A corrupt answer can be well formed, and with a wrong digest the version would
never be complete. Most members ask the few that read the origin, since the origin accepts few connections and has a narrow
link.
*/
const readManifest = async (
	{name, version}: ModelVersion,
	{origin, readPeerDigests, originDigestDelayMs, clock, log}: StagedRolloutOptions,
	signal: AbortSignal,
): Promise<StagedManifest | undefined> => {
	const seen = new Set<string>();
	let loggedAt = Number.NEGATIVE_INFINITY;
	const originAllowedAt = clock.monotonic() + originDigestDelayMs(version);
	while (!signal.aborted) {
		const canAskOrigin = clock.monotonic() >= originAllowedAt;
		let error = 'no usable answer';
		const readOrigin = async (): Promise<VersionDigests | undefined> => {
			const digests = await origin()?.digests(name, version);
			error = digests?.err ? digests.val.message : error;
			return digests?.ok ? digests.val : undefined;
		};

		// Peers are asked at the same time, so that an origin that does not answer does not delay their answers.
		const answer = await firstDefined([...(canAskOrigin ? [readOrigin()] : []), readPeerDigests(name, version)]);
		const manifest = answer && toStagedManifest(answer);
		if (manifest && seen.has(manifest.hash)) {
			return manifest;
		}

		if (manifest) {
			seen.add(manifest.hash);
			continue;
		}

		if (canAskOrigin && clock.monotonic() - loggedAt >= TRANSFER_LOG_MS) {
			loggedAt = clock.monotonic();
			log.warn('The digests of a version cannot be read; retrying.', {
				model: name, version, error,
			});
		}

		await clock.sleep(canAskOrigin ? STEP_RETRY_MS : PEER_DIGEST_RETRY_MS, signal);
	}

	return undefined;
};

/**
Makes one attempt: waits for the slot of the engine in the switch order, verifies the staged pieces, orders the load and
waits for its effect. An engine that holds no version does not wait for its slot.
*/
const trySwitch = async (target: ModelVersion, manifest: StagedManifest, options: StagedRolloutOptions & {readonly heldAt: number}, signal: AbortSignal): Promise<void> => {
	const {engine, stagingArea, clock, log, metrics, onSwitchingChange, isSwitchDue, heldAt, refreshState} = options;
	if (options.state()?.isBusy) {
		await clock.sleep(STEP_RETRY_MS, signal);
		return;
	}

	while (!signal.aborted && options.state()?.model && !isSwitchDue(heldAt)) {
		await clock.sleep(STEP_RETRY_MS / 2, signal);
	}

	const verification = await stagingArea.verify(manifest, signal);
	if (verification.kind === 'incomplete') {
		await clock.sleep(STEP_RETRY_MS, signal);
		return;
	}

	onSwitchingChange(true);
	try {
		await drain(options, signal);
		const verifiedAt = clock.monotonic();
		const finalVerification = await stagingArea.verify(manifest, signal);
		const state = await refreshState();
		if (signal.aborted || !state || finalVerification.kind !== 'whole' || clock.monotonic() - verifiedAt > MAX_VERIFICATION_AGE_MS) {
			await clock.sleep(STEP_RETRY_MS, signal);
			return;
		}

		const cutsRunning = options.canInterruptRequests() && state.running > 0 && state.running <= MAX_INTERRUPTED_STREAMS;
		const outcome = await engine.start({
			model: target.name, version: target.version, expectedOrders: state.orders, cutsRunning,
		});
		log.audit('Sent the engine an order to load a version.', {
			model: target.name, version: target.version, orders: state.orders, outcome: outcome.ok ? outcome.val : outcome.val.kind, running: state.running, cutsRunning,
		});
		metrics.count('weights.orders', {outcome: outcome.ok ? outcome.val : outcome.val.kind});
		if (outcome.ok && outcome.val === 'conflict') {
			await clock.sleep(STEP_RETRY_MS, signal);
			return;
		}

		// The engine may have accepted an order whose answer was lost; its state shows whether it has.
		await waitForEffect(target, state, options, signal);
	} finally {
		onSwitchingChange(false);
	}
};

/**
Waits at least `SWITCH_NOTICE_MS`, so that the entries stop sending requests, and then until few enough requests run to be
interrupted, for at most `DRAIN_TIMEOUT_MS`. When requests may not be interrupted, the engine waits for them itself.
*/
const drain = async ({state, refreshState, clock, canInterruptRequests, refreshCanInterruptRequests}: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	if (!state()?.model) {
		return;
	}

	const deadline = clock.monotonic() + DRAIN_TIMEOUT_MS;
	await refreshCanInterruptRequests();
	do {
		await clock.sleep(SWITCH_NOTICE_MS, signal);
		await refreshState();
	} while (!signal.aborted && canInterruptRequests() && (state()?.running ?? 0) > MAX_INTERRUPTED_STREAMS && clock.monotonic() < deadline);
};

/** Waits until the engine holds the version, is idle without it, restarts or does not answer, for at most `LOAD_TIMEOUT_MS`. */
const waitForEffect = async (target: ModelVersion, before: StagedEngineState, {clock, refreshState}: StagedRolloutOptions, signal: AbortSignal): Promise<void> => {
	const deadline = clock.monotonic() + LOAD_TIMEOUT_MS;
	while (!signal.aborted && clock.monotonic() < deadline) {
		await clock.sleep(STEP_RETRY_MS / 2, signal);
		const state = await refreshState();
		const isSettled = !state || isHeld(state, target) || state.startedAt !== before.startedAt || !state.isBusy;
		if (isSettled) {
			return;
		}
	}
};
