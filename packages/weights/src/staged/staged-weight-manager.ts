/** Brings each new target version of the model onto the engine beside this agent. */
import {setMaxListeners} from 'node:events';
import {
	delay, Publisher, SystemClock, systemRandom, topByWeight, type Clock, type Log, type Metrics, type PeerServer, type Random,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import {WeightExchange} from '../weight-exchange.js';
import {StarPlanner} from '../star-plan.js';
import type {WeightSettings} from '../types.js';
import {
	ORIGIN_DIGEST_DELAY_MS, ORIGIN_DIGEST_READER_COUNT, MAX_IDLE_TRANSFER_SHARE, MAX_ORIGIN_RETRY_MS, ENGINE_STATE_POLL_MS,
	TRANSFER_BALANCE, MAX_UPLOAD_SHARE, STAGED_ABSENT_TIMEOUT_MS,
} from './constants.js';
import type {ActiveRollout} from './active-rollout.js';
import {DigestExchange} from './digest-exchange.js';
import {IndexedOrigin} from './indexed-origin.js';
import {StagingArea} from './staging-area.js';
import type {StagedEngineStatus, StagedTargetVersion, StagedWeightManagerOptions} from './staged-weight-manager-options.js';
import type {StagedManifest} from './staged-manifest.js';
import {rollOutStaged} from './staged-rollout.js';
import {SupersededTransferCanceller} from './superseded-transfers.js';
import {RolloutSchedule} from './rollout-schedule.js';
import type {
	ModelVersion, StagedEngine, StagedEngineState, VersionedOrigin, VersionDigests,
} from './types.js';

export class StagedWeightManager {
	readonly #options: StagedWeightManagerOptions;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #exchange: WeightExchange;
	readonly #indexedOrigin: IndexedOrigin;
	readonly #stagingArea: StagingArea;
	readonly #supersededTransfers: SupersededTransferCanceller;
	readonly #digests: DigestExchange;
	readonly #schedule: RolloutSchedule;
	readonly #statusPublisher = new Publisher<StagedEngineStatus>();
	#state: StagedEngineState | undefined;
	#isEngineDown = false;
	#isSwitching = false;
	#activeRollouts: readonly ActiveRollout[] = [];

	constructor(options: StagedWeightManagerOptions) {
		const {clock = new SystemClock(), random = systemRandom(), log, metrics, engine, origin} = options;
		this.#options = options;
		this.#clock = clock;
		this.#log = log.part('weights');
		this.#schedule = new RolloutSchedule({
			...options, linkBytesPerSecond: options.settings.linkBytesPerSecond, clock, heldVersion: () => this.#state?.model?.version,
		});
		this.#indexedOrigin = new IndexedOrigin({origin});
		this.#exchange = new WeightExchange({
			...options,
			settings: {
				...options.settings,
				linkShare: () => this.#schedule.servesRequests ? MAX_UPLOAD_SHARE : MAX_IDLE_TRANSFER_SHARE,
				maxOriginRetryMs: MAX_ORIGIN_RETRY_MS,
				absentTimeoutMs: STAGED_ABSENT_TIMEOUT_MS,
			},
			origin: this.#indexedOrigin, clock, random, log: this.#log, balance: () => TRANSFER_BALANCE, planner: new StarPlanner(),
		});
		this.#digests = new DigestExchange({...options, random, storeRegion: options.settings.storeRegion});
		this.#stagingArea = new StagingArea({
			engine, store: this.#exchange.store, log: this.#log, metrics,
		});
		this.#supersededTransfers = new SupersededTransferCanceller({
			linkBytesPerSecond: options.settings.linkBytesPerSecond ?? Number.POSITIVE_INFINITY,
			usableMs: options.versionBoundMs - options.boundMarginMs,
			pendingTransfers: () => this.#activeRollouts.filter(({hasPieces, controller}) => !hasPieces && !controller.signal.aborted).map(({target, controller}) => ({
				transfer: target,
				cancel() {
					controller.abort();
				},
			})),
			missingBytesOf: version => this.#digests.bytesOf(version, hash => !this.#exchange.store.has(hash)),
			sizeBytesOf: version => this.#digests.bytesOf(version) ?? 0,
			clock: this.#clock, log: this.#log,
		});
	}

	get status(): StagedEngineStatus {
		return {state: this.#state, isSwitching: this.#isSwitching || (this.#state?.isBusy ?? false)};
	}

	/** Whether a rollout is in progress. */
	get isRollingOut(): boolean {
		return this.#activeRollouts.length > 0;
	}

	/** @returns the hash of the manifest of a version, or undefined before this agent has read its digests */
	manifestHash(version: number): string | undefined {
		return this.#digests.manifestHash(version);
	}

	/** Calls the listener with each status. @returns a function that unsubscribes it */
	readonly onStatus = (listener: (status: StagedEngineStatus) => void): (() => void) => this.#statusPublisher.subscribe(listener);

	/** Reads the state of the engine and starts rollouts until the signal aborts, then waits for the end of all rollouts. */
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

	async #refreshState(): Promise<StagedEngineState | undefined> {
		const result = await this.#options.engine.state();
		if (result.ok) {
			if (this.#isEngineDown) {
				this.#log.info('The engine answers again.', {model: result.val.model});
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
	Starts a rollout when the engine does not hold the target version. A rollout of an older version continues unless it is
	cancelled in favor of the newer one.

	There is also a rollout when the engine held the target before this agent started: it copies the staged pieces into the
	chunk store, from which peers can fetch them.
	*/
	#startRolloutIfNeeded(signal: AbortSignal): void {
		const target = this.#options.targets().at(-1);
		if (!target) {
			return;
		}

		const isHeld = this.#state?.model?.name === target.name && this.#state.model.version === target.version;
		const isKnown = isHeld && this.#digests.manifestHash(target.version) !== undefined;
		const isRollingOut = this.#activeRollouts.some(({target: other, controller}) => other.version === target.version && !controller.signal.aborted);
		if (!isKnown && this.#state && !isRollingOut) {
			this.#startRollout(target, signal);
		}
	}

	#startRollout(target: StagedTargetVersion, signal: AbortSignal): void {
		const previousDone = this.#activeRollouts.map(async ({done}) => done);
		const previousPiecesDone = this.#activeRollouts.map(async ({piecesDone}) => piecesDone);
		let resolvePiecesDone = (): void => undefined;
		const piecesDone = new Promise<void>(resolve => {
			resolvePiecesDone = resolve;
		});
		const controller = new AbortController();
		const combined = AbortSignal.any([controller.signal, signal]);
		setMaxListeners(0, combined);
		const run = async (): Promise<void> => {
			// Waits until the rollout is in the list of active rollouts, which is updated after this function has returned.
			await delay(0);
			try {
				await rollOutStaged(target, {
					...this.#rolloutOptions(target),
					onOwnPieces: () => {
						this.#log.info('All pieces that this agent relays are held.', {version: target.version});
						void this.#supersededTransfers.cancelOlder(target, combined);
					},
					// Only one transfer at a time is limited in its rate, so that each gets the whole rate.
					async onTurnToFetch() {
						await Promise.all(previousPiecesDone);
					},
					onManifest: staged => {
						rollout.manifest = staged.hash;
						this.#digests.keep(staged);
						void this.#supersededTransfers.cancelUseless(target, combined);
						this.#log.info('Transfer begins.', {manifest: staged.hash, version: staged.version, origin: this.#options.origin() !== undefined});
					},
					isNewer: manifest => this.#activeRollouts.some(other => other.manifest === manifest && other.target.version > target.version),
					onPieces: async () => {
						rollout.hasPieces = true;
						resolvePiecesDone();
						// The staging area and the engine take only one version at a time.
						await Promise.all(previousDone);
						if (this.#activeRollouts.some(other => other.target.version > target.version && other.hasPieces)) {
							this.#log.info('Version is not loaded because all pieces of a newer version are held.', {version: target.version});
							controller.abort();
						}
					},
				}, combined);
			} catch (error) {
				this.#log.error('Rollout failed and will be retried.', {error: String(error)});
			} finally {
				resolvePiecesDone();
				this.#activeRollouts = this.#activeRollouts.filter(other => other !== rollout);
			}
		};

		const rollout: ActiveRollout = {
			target, controller, hasPieces: false, manifest: undefined, piecesDone, done: run(),
		};
		this.#activeRollouts = [...this.#activeRollouts, rollout];
	}

	#rolloutOptions(target: StagedTargetVersion): Omit<Parameters<typeof rollOutStaged>[1], 'onPieces' | 'onOwnPieces' | 'onTurnToFetch' | 'onManifest' | 'isNewer'> {
		const {
			engine, origin, metrics, waitForMembers = async () => undefined, refreshMembers,
			canInterruptRequests, refreshCanInterruptRequests = async () => undefined, selfId,
		} = this.#options;
		return {
			engine,
			origin,
			indexedOrigin: this.#indexedOrigin,
			chunkStore: this.#exchange.store,
			chunkFetcher: this.#exchange.chunks,
			stagingArea: this.#stagingArea,
			state: () => this.#state,
			refreshState: async () => this.#refreshState(),
			selfId,
			waitForMembers,
			refreshMembers,
			canInterruptRequests,
			refreshCanInterruptRequests,
			transferRateFor: progress => this.#schedule.transferRate(target, progress),
			isSwitchDue: heldAt => this.#schedule.isSwitchDue(target, {heldAt, engines: this.#engineIds}),
			onSwitchingChange: isSwitching => {
				this.#isSwitching = isSwitching;
				this.#statusPublisher.publish(this.status);
			},
			originDigestDelayMs: version => this.#digests.originReaders(version).includes(selfId) ? 0 : ORIGIN_DIGEST_DELAY_MS,
			readPeerDigests: async (model, version) => this.#digests.readFromPeers(model, version),
			clock: this.#clock,
			log: this.#log,
			metrics,
		};
	}

	/** Identifiers of the agents whose engines serve the model. */
	get #engineIds(): readonly string[] {
		const {members, selfId} = this.#options;
		return members.members.filter(({upstream, id}) => id === selfId || (upstream?.served.length ?? 0) > 0).map(({id}) => id);
	}
}
