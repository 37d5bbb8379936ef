/** Keeps the engine beside this agent on the newest named version of its model. */
import {setMaxListeners} from 'node:events';
import {
	delay, Publisher, SystemClock, systemRandom, topRanked, type Clock, type Log, type Metrics, type PeerServer, type Random,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import {Exchange} from '../exchange.js';
import {StarPlanner} from '../star-plan.js';
import type {WeightSettings} from '../types.js';
import {
	ORIGIN_DIGEST_DELAY_MS, DIGEST_READERS, FIRST_WAVE_DELAY_SHARE, MAX_IDLE_TRANSFER_SHARE, MAX_ORIGIN_RETRY_MS, KEPT_DIGEST_VERSIONS, ENGINE_STATE_POLL_MS,
	MAX_SERVING_TRANSFER_SHARE, TRANSFER_BALANCE, TRANSFER_DUE_MARGIN_MS, MAX_UPLOAD_SHARE,
} from './constants.js';
import {chooseDigestPeers, firstDefined} from './digest-peers.js';
import {IndexedOrigin} from './indexed-origin.js';
import {StagingArea} from './staging-area.js';
import type {StagedManifest} from './staged-manifest.js';
import {rollOutStaged} from './staged-rollout.js';
import {SupersededTransferCanceller} from './superseded-transfers.js';
import {switchWave} from './switch-wave.js';
import {transferRate, type TransferProgress} from './transfer-rate.js';
import type {
	ModelVersion, StagedEngine, StagedEngineState, VersionedOrigin, VersionDigests,
} from './types.js';

/** Version that the engine should hold, and since when this agent knows. */
export type StagedTarget = ModelVersion & {
	/** Monotonic milliseconds. */
	readonly learnedAt: number;
};

const DIGESTS_METHOD = 'weights.digests';

export type EngineStatus = {
	readonly state: StagedEngineState | undefined;
	readonly isSwitching: boolean;
};

export type StagedWeightManagerOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly members: MemberTable;

	/** Waits for some member table: without one, each member would read the digests at the origin. */
	readonly listMembers?: () => Promise<void>;

	/** Brings the member table up to date; without success the last one is used. */
	readonly refreshMembers: () => Promise<void>;

	/** Versions that were named, oldest first; the last one is the target. */
	readonly targets: () => readonly StagedTarget[];

	/** Whether all requests that the engine gets may be continued or repeated elsewhere. */
	readonly mayCut: () => boolean;

	/** Brings `mayCut` up to date before streams are cut; without success the last answer holds. */
	readonly refreshMayCut?: () => Promise<void>;
	readonly engine: StagedEngine;
	readonly origin: () => VersionedOrigin | undefined;

	/** Calls a method of a peer; nothing when it does not answer. */
	readonly askPeer: <Answer>(address: string, method: string, parameters: unknown) => Promise<Answer | undefined>;

	/** Handlers are registered by the constructor, so create the manager before the server listens. */
	readonly peerServer: PeerServer;
	readonly settings: WeightSettings;

	/** Time from a version's naming within which every request must begin on it, in milliseconds. */
	readonly versionBoundMs: number;

	/** Time before the bound from which entries send nothing to an engine on the older version, in milliseconds. */
	readonly boundMarginMs: number;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** A rollout in progress. One whose pieces are all held goes on beside that of a newer version, until the bound of its own. */
type ActiveRollout = {
	readonly target: StagedTarget;
	readonly controller: AbortController;
	hasPieces: boolean;

	/** Hash of the manifest, once its digests are known. */
	manifest: string | undefined;

	/** Settles when all pieces are held or the rollout ended without. */
	readonly pieces: Promise<void>;
	readonly done: Promise<void>;
};

export class StagedWeightManager {
	readonly #options: StagedWeightManagerOptions;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #exchange: Exchange;
	readonly #indexedOrigin: IndexedOrigin;
	readonly #stagingArea: StagingArea;
	readonly #supersededTransfers: SupersededTransferCanceller;
	readonly #statusPublisher = new Publisher<EngineStatus>();
	readonly #manifestHashes = new Map<number, string>();
	readonly #pieceDigests = new Map<number, readonly string[]>();
	#pieceBytes = 0;
	#state: StagedEngineState | undefined;
	#isEngineDown = false;
	#isSwitching = false;
	#activeRollouts: readonly ActiveRollout[] = [];

	constructor(options: StagedWeightManagerOptions) {
		const {clock = new SystemClock(), random = systemRandom(), log, metrics, engine, origin} = options;
		this.#options = options;
		this.#clock = clock;
		this.#log = log.part('weights');
		this.#indexedOrigin = new IndexedOrigin({origin});
		this.#exchange = new Exchange({
			...options,
			settings: {
				...options.settings,
				linkShare: () => this.#servesRequests() ? MAX_UPLOAD_SHARE : MAX_IDLE_TRANSFER_SHARE,
				maxOriginRetryMs: MAX_ORIGIN_RETRY_MS,
			},
			origin: this.#indexedOrigin, clock, random, log: this.#log, balance: () => TRANSFER_BALANCE, planner: new StarPlanner(),
		});
		options.peerServer.method(DIGESTS_METHOD, ({model, version}: {readonly model: string; readonly version: number}) => {
			const digests = this.#pieceDigests.get(version);
			return digests
				? {
					model, version, pieceBytes: this.#pieceBytes, digests,
				}
				: null;
		});
		this.#stagingArea = new StagingArea({
			engine, store: this.#exchange.store, log: this.#log, metrics,
		});
		this.#supersededTransfers = new SupersededTransferCanceller({
			linkBytesPerSecond: options.settings.linkBytesPerSecond ?? Number.POSITIVE_INFINITY,
			usableMs: options.versionBoundMs - options.boundMarginMs,
			pendingTransfers: () => this.#activeRollouts.filter(({hasPieces, controller}) => !hasPieces && !controller.signal.aborted).map(({target, controller}) => ({
				transfer: target,
				end() {
					controller.abort();
				},
			})),
			missingBytesOf: version => this.#sizeOfPieces(this.#pieceDigests.get(version)?.filter(hash => !this.#exchange.store.has(hash))),
			sizeBytesOf: version => this.#sizeOfPieces(this.#pieceDigests.get(version)) ?? 0,
			clock: this.#clock, log: this.#log,
		});
	}

	get status(): EngineStatus {
		return {state: this.#state, isSwitching: this.#isSwitching || (this.#state?.isBusy ?? false)};
	}

	/** Whether a version is being brought onto the engine. */
	get isRollingOut(): boolean {
		return this.#activeRollouts.length > 0;
	}

	/** Hash of the manifest of a version; nothing before this agent has read it. */
	manifestHash(version: number): string | undefined {
		return this.#manifestHashes.get(version);
	}

	/** Calls the listener with each state read. @returns a function that ends it. */
	readonly onStatus = (listener: (status: EngineStatus) => void): (() => void) => this.#statusPublisher.subscribe(listener);

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		setMaxListeners(0, signal);
		while (!signal.aborted) {
			await this.#refreshState();
			this.#startRolloutIfNeeded(signal);
			await this.#clock.sleep(ENGINE_STATE_POLL_MS, signal);
		}

		for (const {controller} of this.#activeRollouts) {
			controller.abort();
		}

		await Promise.all(this.#activeRollouts.map(async ({done}) => done));
		await this.#exchange.close();
	}

	#sizeOfPieces(pieces: readonly string[] | undefined): number | undefined {
		return pieces && pieces.length * this.#pieceBytes;
	}

	/** Remembers what peers may ask for, of the newest versions only. */
	#keepDigests({hash, version, manifest}: StagedManifest): void {
		this.#manifestHashes.set(version, hash);
		this.#pieceDigests.set(version, manifest.chunks);
		this.#pieceBytes = manifest.chunkBytes;
		for (const known of this.#manifestHashes.keys()) {
			if (known < version - KEPT_DIGEST_VERSIONS) {
				this.#manifestHashes.delete(known);
				this.#pieceDigests.delete(known);
			}
		}
	}

	async #refreshState(): Promise<StagedEngineState | undefined> {
		const result = await this.#options.engine.state();
		if (result.ok) {
			if (this.#isEngineDown) {
				this.#log.info('The engine answers.', {model: result.val.model});
			}

			this.#isEngineDown = false;
			this.#state = result.val;
		} else {
			if (!this.#isEngineDown) {
				this.#log.warn('The engine does not answer.', {error: result.val.message});
			}

			this.#isEngineDown = true;
			this.#state = undefined;
		}

		this.#statusPublisher.publish(this.status);
		return this.#state;
	}

	/**
	Starts a rollout when the engine lacks the target, and replaces one for an older target.

	An engine that held the target before this agent started goes through it, too: its staged pieces then serve the peers.
	*/
	#startRolloutIfNeeded(signal: AbortSignal): void {
		const target = this.#options.targets().at(-1);
		if (!target) {
			return;
		}

		const isHeld = this.#state?.model?.name === target.name && this.#state.model.version === target.version;
		const isKnown = isHeld && this.#manifestHashes.has(target.version);
		const isRunning = this.#activeRollouts.some(({target: running, controller}) => running.version === target.version && !controller.signal.aborted);
		if (!isKnown && this.#state && !isRunning) {
			this.#startRollout(target, signal);
		}
	}

	#startRollout(target: StagedTarget, signal: AbortSignal): void {
		const previous = this.#activeRollouts.map(async ({done}) => done);
		const previousPieces = this.#activeRollouts.map(async ({pieces}) => pieces);
		let releasePieces = (): void => undefined;
		const pieces = new Promise<void>(resolve => {
			releasePieces = resolve;
		});
		const controller = new AbortController();
		const combined = AbortSignal.any([controller.signal, signal]);
		setMaxListeners(0, combined);
		const run = async (): Promise<void> => {
			// The entry in the list exists only after this function has returned.
			await delay(0);
			try {
				await rollOutStaged(target, {
					...this.#rolloutOptions(target),
					onOwnPieces: () => {
						this.#log.info('The pieces that this agent passes on are held.', {version: target.version});
						void this.#supersededTransfers.cancelOlder(target, combined);
					},
					// One paced transfer at a time leaves each the whole pace.
					async onTurnToFetch() {
						await Promise.all(previousPieces);
					},
					onManifest: staged => {
						running.manifest = staged.hash;
						this.#keepDigests(staged);
						this.#log.info('Transfer begins.', {manifest: staged.hash, version: staged.version, origin: this.#options.origin() !== undefined});
					},
					isNewer: manifest => this.#activeRollouts.some(other => other.manifest === manifest && other.target.version > target.version),
					onPieces: async () => {
						running.hasPieces = true;
						releasePieces();
						// The stage and the engine take one version at a time.
						await Promise.all(previous);
						if (this.#activeRollouts.some(other => other.target.version > target.version && other.hasPieces)) {
							this.#log.info('The pieces of a newer version are held; this one is not loaded.', {version: target.version});
							controller.abort();
						}
					},
				}, combined);
			} catch (error) {
				this.#log.error('A rollout failed; it starts again.', {error: String(error)});
			} finally {
				releasePieces();
				this.#activeRollouts = this.#activeRollouts.filter(other => other !== running);
			}
		};

		const running: ActiveRollout = {
			target, controller, hasPieces: false, manifest: undefined, pieces, done: run(),
		};
		this.#activeRollouts = [...this.#activeRollouts, running];
	}

	#rolloutOptions(target: StagedTarget): Omit<Parameters<typeof rollOutStaged>[1], 'onPieces' | 'onOwnPieces' | 'onTurnToFetch' | 'onManifest' | 'isNewer'> {
		const {engine, origin, metrics, listMembers = async () => undefined, refreshMembers, mayCut, refreshMayCut = async () => undefined, selfId} = this.#options;
		return {
			engine,
			origin,
			pieces: this.#indexedOrigin,
			store: this.#exchange.store,
			fetcher: this.#exchange.chunks,
			stage: this.#stagingArea,
			state: () => this.#state,
			refreshState: async () => this.#refreshState(),
			selfId,
			listMembers,
			refreshMembers,
			canInterruptRequests: mayCut,
			refreshCanInterruptRequests: refreshMayCut,
			transferRateFor: progress => this.#transferRateFor(target, progress),
			isSwitchDue: () => this.#isSwitchDue(target),
			onSwitchingChange: isSwitching => {
				this.#isSwitching = isSwitching;
				this.#statusPublisher.publish(this.status);
			},
			originDigestDelayMs: version => this.#digestReaders(version).includes(selfId) ? 0 : ORIGIN_DIGEST_DELAY_MS,
			readPeerDigests: async (model, version) => this.#readPeerDigests(model, version),
			clock: this.#clock,
			log: this.#log,
			metrics,
		};
	}

	/** Members that read the digests of a version at the origin, the same for all that see the same list. */
	#digestReaders(version: number): readonly string[] {
		return topRanked(String(version), this.#options.members.members.map(({id}) => id), DIGEST_READERS);
	}

	/** Asks members for the digests of a version. Wrong ones are harmless: no piece verifies against them. */
	async #readPeerDigests(model: string, version: number): Promise<VersionDigests | undefined> {
		const {members, random = systemRandom(), askPeer} = this.#options;
		const asked = chooseDigestPeers({
			members: members.members, self: members.self, readers: this.#digestReaders(version), random,
		});
		return firstDefined(asked.map(async ({address}) => {
			const digests = await askPeer<VersionDigests | null>(address, DIGESTS_METHOD, {model, version}); // eslint-disable-line @typescript-eslint/no-restricted-types
			return digests ?? undefined;
		}));
	}

	/** Whether this engine's group may switch; an engine that serves nothing waits for nobody. */
	#isSwitchDue(target: StagedTarget): boolean {
		return this.#clock.monotonic() - this.#boundStartedAt(target) >= this.#switchDelayMs(target);
	}

	/** When the oldest version was named that is newer than what the engine holds: its bound comes first. */
	#boundStartedAt(target: StagedTarget): number {
		const held = this.#state?.model?.version ?? 0;
		return this.#options.targets().find(({version}) => version > held)?.learnedAt ?? target.learnedAt;
	}

	#switchDelayMs({version}: StagedTarget): number {
		const {members, selfId, versionBoundMs} = this.#options;
		const ids = members.members.filter(({upstream, id}) => id === selfId || (upstream?.served.length ?? 0) > 0).map(({id}) => id);
		return switchWave({
			selfId, ids, version, boundMs: versionBoundMs,
		}).delayMs;
	}

	/** Whether entries may send requests to the engine: it holds a version whose bound is not near. */
	#servesRequests(): boolean {
		const {versionBoundMs, boundMarginMs} = this.#options;
		const held = this.#state?.model;
		const newer = held && this.#options.targets().find(({version}) => version > held.version);
		return held !== undefined && (newer === undefined || this.#clock.monotonic() - newer.learnedAt < versionBoundMs - boundMarginMs);
	}

	/** Fast enough for the turn of the first group, also after a pause; as fast as allowed while the engine serves nothing. */
	#transferRateFor(target: StagedTarget, {totalBytes, remainingBytes, startedAt}: TransferProgress): number {
		const {linkBytesPerSecond = Number.POSITIVE_INFINITY} = this.#options.settings;
		if (!this.#servesRequests()) {
			return linkBytesPerSecond * MAX_IDLE_TRANSFER_SHARE;
		}

		// A newer version waits for the link.
		if (this.#options.targets().some(({version}) => version > target.version)) {
			return linkBytesPerSecond * MAX_SERVING_TRANSFER_SHARE;
		}

		const dueAt = this.#boundStartedAt(target) + (this.#options.versionBoundMs * FIRST_WAVE_DELAY_SHARE) - TRANSFER_DUE_MARGIN_MS;
		return transferRate({
			totalBytes, remainingBytes, startedAt, dueAt, now: this.#clock.monotonic(), linkBytesPerSecond,
		});
	}
}
