/**
Rolls out one version: fetches the manifest and the chunks, loads them into the engine, waits for a slot in the switch
order, and activates the version.
*/
import type {Clock, Log, Metrics} from '@yuccawood/common';
import type {ModelConfiguration} from '@yuccawood/configuration';
import type {MemberTable} from '@yuccawood/membership';
import type {ModelEngine} from '@yuccawood/interfaces';
import type {ChunkFetcher} from './chunk-fetcher.js';
import type {ChunkStore} from './chunk-store.js';
import {ENGINE_PUT_WINDOW, MAX_ROLLOUT_RETRY_MS, ROLLOUT_RETRY_MS} from './constants.js';
import {ChunkFeed} from './chunk-feed.js';
import type {EngineCommands} from './engine-commands.js';
import {RolloutError} from './errors.js';
import type {ManifestFetcher} from './manifest-fetcher.js';
import type {VerifiedManifest} from './manifest-library.js';
import {canSwitch} from './switch-order.js';
import {transferVersion} from './version-transfer.js';

export type RolloutOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly members: MemberTable;
	readonly engine: ModelEngine;
	readonly commands: EngineCommands;
	readonly store: ChunkStore;
	readonly manifestFetcher: ManifestFetcher;
	readonly chunkFetcher: ChunkFetcher;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Frees space in the chunk store by releasing replaced versions. */
	readonly freeStoreSpace: () => void;

	/** Called when the store holds all chunks of the version. */
	readonly onChunksHeld: () => void;

	/** Called when the engine has computed the expected manifest hash. */
	readonly onConfirmed: (manifest: string, name: string) => void;

	/** Whether the engine has loaded the version with this manifest. */
	readonly isLoaded: (manifest: string) => Promise<boolean>;

	/** Interval at which the switch order is checked, in milliseconds. */
	readonly switchPollMs?: number;
};

/**
Runs until the version is active or the signal aborts. A failed attempt is retried after a pause that doubles up to
`MAX_ROLLOUT_RETRY_MS`.
*/
export const rollOut = async (target: ModelConfiguration, options: RolloutOptions, signal: AbortSignal): Promise<void> => {
	const {clock, log, metrics, store, manifestFetcher} = options;
	const startedAt = clock.monotonic();
	const verified = await manifestFetcher.fetch(target.manifest, target, signal);
	if (!verified) {
		return;
	}

	let pauseMs = ROLLOUT_RETRY_MS;
	while (!signal.aborted) {
		const failure = await attemptRollout(target, verified, options, signal);
		if (signal.aborted) {
			return;
		}

		if (!failure) {
			metrics.timing('weights.rollout', clock.monotonic() - startedAt, {name: target.name});
			log.audit('Version is active.', {
				name: target.name, version: target.version, manifest: target.manifest, heldBytes: store.reservedBytes,
			});
			return;
		}

		metrics.count('weights.rollout_failures', {kind: failure.kind});
		log.warn(failure.message, {name: target.name, version: target.version});
		await clock.sleep(pauseMs, signal);
		pauseMs = Math.min(MAX_ROLLOUT_RETRY_MS, pauseMs * 2);
	}
};

/** Runs all steps of the rollout once. @returns the failure of the first step that failed. */
const attemptRollout = async (target: ModelConfiguration, verified: VerifiedManifest, options: RolloutOptions, signal: AbortSignal): Promise<RolloutError | undefined> => {
	const {commands, isLoaded, onConfirmed} = options;
	if (!await isLoaded(verified.hash)) {
		const failure = await loadVersion(verified, options, signal);
		if (failure ?? signal.aborted) {
			return failure;
		}
	}

	onConfirmed(verified.hash, verified.manifest.name);
	await waitForSwitchSlot(target, options, signal);
	if (signal.aborted) {
		return undefined;
	}

	const activated = await commands.activate(verified.hash);
	return activated.err ? activated.val : undefined;
};

/** Fetches the chunks, sends each one to the engine as soon as it arrives, and commands the engine to load the version. */
const loadVersion = async (verified: VerifiedManifest, options: RolloutOptions, signal: AbortSignal): Promise<RolloutError | undefined> => {
	const {store, chunkFetcher, engine, commands, freeStoreSpace, onChunksHeld} = options;
	let retained = store.retain(verified.hash, verified.manifest);
	if (retained.err) {
		freeStoreSpace();
		retained = store.retain(verified.hash, verified.manifest);
	}

	if (retained.err) {
		return new RolloutError({
			kind: 'store', detail: retained.val.message, remedy: 'The rollout of the version is retried.', cause: retained.val,
		});
	}

	const feed = new ChunkFeed({engine, window: ENGINE_PUT_WINDOW, signal});
	await transferVersion({
		...verified, store, fetcher: chunkFetcher, signal,
		onChunk(chunk) {
			feed.push(chunk);
		},
	});
	if (signal.aborted) {
		return undefined;
	}

	onChunksHeld();
	const failure = await feed.finish();
	if (failure ?? signal.aborted) {
		return failure;
	}

	const loaded = await commands.load(verified);
	return loaded.err ? loaded.val : undefined;
};

/** Waits until the switch order lets this member activate the version, or until the signal aborts. */
const waitForSwitchSlot = async ({name, manifest, maxSwitchingShare}: ModelConfiguration, options: RolloutOptions, signal: AbortSignal): Promise<void> => {
	const {members, selfId, service, clock, switchPollMs = 100} = options;
	const isAllowed = (): boolean => canSwitch({
		members: members.members, selfId, service, name, manifest, maxSwitchingShare,
	});
	while (!signal.aborted && !isAllowed()) {
		await clock.sleep(switchPollMs, signal);
	}
};
