/** Brings one version into service: manifest, chunks, load, confirmation, turn, activation. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import type {ModelConfiguration} from '@yuccawood/configuration';
import type {MemberTable} from '@yuccawood/membership';
import type {ModelEngine} from '@yuccawood/interfaces';
import type {ChunkFetcher} from './chunk-fetcher.js';
import type {ChunkStore} from './chunk-store.js';
import {ENGINE_PUT_WINDOW, MAX_RETRY_MS, RETRY_MS} from './constants.js';
import {ChunkFeed} from './chunk-feed.js';
import type {EngineOrders} from './engine-orders.js';
import {RolloutError} from './errors.js';
import type {ManifestFetcher} from './manifest-fetcher.js';
import type {KnownManifest} from './manifest-library.js';
import {maySwitch} from './switch-turn.js';
import {transferVersion} from './version-transfer.js';

export type RolloutOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly members: MemberTable;
	readonly engine: ModelEngine;
	readonly orders: EngineOrders;
	readonly store: ChunkStore;
	readonly manifests: ManifestFetcher;
	readonly chunks: ChunkFetcher;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Frees room for a version by releasing replaced ones. */
	readonly makeRoom: () => void;

	/** Called when all chunks are held. */
	readonly onHeld: () => void;

	/** Called when the engine has confirmed the manifest hash. */
	readonly onConfirmed: (manifest: string, name: string) => void;

	/** Whether the engine has loaded the version with this manifest. */
	readonly isLoaded: (manifest: string) => Promise<boolean>;

	/** Pause before a turn to switch is checked again. */
	readonly turnPollMs?: number;
};

/** Runs until the version is active or the signal aborts. Failed steps are tried again. */
export const rollOut = async (target: ModelConfiguration, options: RolloutOptions, signal: AbortSignal): Promise<void> => {
	const {clock, log, metrics, store, manifests} = options;
	const startedAt = clock.monotonic();
	const known = await manifests.fetch(target.manifest, target, signal);
	if (!known) {
		return;
	}

	let pauseMs = RETRY_MS;
	while (!signal.aborted) {
		const failure = await attempt(target, known, options, signal);
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
		pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
	}
};

const attempt = async (target: ModelConfiguration, known: KnownManifest, options: RolloutOptions, signal: AbortSignal): Promise<RolloutError | undefined> => {
	const {orders, isLoaded, onConfirmed} = options;
	if (!await isLoaded(known.hash)) {
		const failure = await load(known, options, signal);
		if (failure ?? signal.aborted) {
			return failure;
		}
	}

	onConfirmed(known.hash, known.manifest.name);
	await waitForTurn(target, options, signal);
	if (signal.aborted) {
		return undefined;
	}

	const activated = await orders.activate(known.hash);
	return activated.err ? activated.val : undefined;
};

/** Fetches the chunks, hands them to the engine as they arrive, and orders the load. */
const load = async (known: KnownManifest, options: RolloutOptions, signal: AbortSignal): Promise<RolloutError | undefined> => {
	const {store, chunks, engine, orders, makeRoom, onHeld} = options;
	let retained = store.retain(known.hash, known.manifest);
	if (retained.err) {
		makeRoom();
		retained = store.retain(known.hash, known.manifest);
	}

	if (retained.err) {
		return new RolloutError({
			kind: 'store', detail: retained.val.message, remedy: 'The version is tried again.', cause: retained.val,
		});
	}

	const feed = new ChunkFeed({engine, window: ENGINE_PUT_WINDOW, signal});
	await transferVersion({
		...known, store, fetcher: chunks, signal,
		onChunk(chunk) {
			feed.push(chunk);
		},
	});
	if (signal.aborted) {
		return undefined;
	}

	onHeld();
	const failure = await feed.finish();
	if (failure ?? signal.aborted) {
		return failure;
	}

	const loaded = await orders.load(known);
	return loaded.err ? loaded.val : undefined;
};

const waitForTurn = async ({name, manifest, maxSwitchingShare}: ModelConfiguration, options: RolloutOptions, signal: AbortSignal): Promise<void> => {
	const {members, selfId, service, clock, turnPollMs = 100} = options;
	const isTurn = (): boolean => maySwitch({
		members: members.members, selfId, service, name, manifest, maxSwitchingShare,
	});
	while (!signal.aborted && !isTurn()) {
		await clock.sleep(turnPollMs, signal);
	}
};
