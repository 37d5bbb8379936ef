/** Keeps the engine beside this agent on the newest named version of its model. */
import {setMaxListeners} from 'node:events';
import {
	Publisher, SystemClock, systemRandom, type Clock, type Log, type Metrics, type PeerServer, type Random,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import {DEFAULT_BALANCE} from '../constants.js';
import {Exchange} from '../exchange.js';
import {maySwitch} from '../switch-turn.js';
import type {WeightSettings} from '../types.js';
import {LATEST_SWITCH_SHARE, REPORT_POLL_MS, SWITCHING_SHARE} from './constants.js';
import {IndexedOrigin} from './indexed-origin.js';
import {Stage} from './stage.js';
import type {StagedManifest} from './staged-manifest.js';
import {rollOutStaged} from './staged-rollout.js';
import type {HeldVersion, StagedEngine, StagedEngineState, VersionedOrigin} from './types.js';

/** Version that the engine should hold, and since when this agent knows. */
export type StagedTarget = HeldVersion & {
	/** Monotonic milliseconds. */
	readonly learnedAt: number;
};

export type EngineStatus = {
	readonly state: StagedEngineState | undefined;
	readonly isSwitching: boolean;
};

export type StagedWeightManagerOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly members: MemberTable;
	readonly target: () => StagedTarget | undefined;
	readonly engine: StagedEngine;
	readonly origin: () => VersionedOrigin | undefined;

	/** Handlers are registered by the constructor, so create the manager before the server listens. */
	readonly peerServer: PeerServer;
	readonly settings: WeightSettings;

	/** Time from a version's naming within which every request must begin on it, in milliseconds. */
	readonly versionBoundMs: number;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

type Running = {readonly target: HeldVersion; readonly controller: AbortController; readonly done: Promise<void>};

export class StagedWeightManager {
	readonly #options: StagedWeightManagerOptions;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #exchange: Exchange;
	readonly #pieces: IndexedOrigin;
	readonly #stage: Stage;
	readonly #published = new Publisher<EngineStatus>();
	readonly #hashes = new Map<number, string>();
	#state: StagedEngineState | undefined;
	#isDown = false;
	#isSwitching = false;
	#running: Running | undefined;

	constructor(options: StagedWeightManagerOptions) {
		const {clock = new SystemClock(), random = systemRandom(), log, metrics, engine, origin} = options;
		this.#options = options;
		this.#clock = clock;
		this.#log = log.part('weights');
		this.#pieces = new IndexedOrigin({origin});
		this.#exchange = new Exchange({
			...options, origin: this.#pieces, clock, random, log: this.#log, balance: () => DEFAULT_BALANCE,
		});
		this.#stage = new Stage({
			engine, store: this.#exchange.store, log: this.#log, metrics,
		});
	}

	get status(): EngineStatus {
		return {state: this.#state, isSwitching: this.#isSwitching || (this.#state?.isBusy ?? false)};
	}

	/** Whether a version is being brought onto the engine. */
	get isRollingOut(): boolean {
		return this.#running !== undefined;
	}

	/** Hash of the manifest of a version; nothing before this agent has read it. */
	manifestHash(version: number): string | undefined {
		return this.#hashes.get(version);
	}

	/** Calls the listener with each state read. @returns a function that ends it. */
	readonly onStatus = (listener: (status: EngineStatus) => void): (() => void) => this.#published.subscribe(listener);

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		setMaxListeners(0, signal);
		while (!signal.aborted) {
			await this.#refresh();
			this.#steer(signal);
			await this.#clock.sleep(REPORT_POLL_MS, signal);
		}

		this.#running?.controller.abort();
		await this.#running?.done;
		await this.#exchange.close();
	}

	async #refresh(): Promise<StagedEngineState | undefined> {
		const result = await this.#options.engine.state();
		if (result.ok) {
			if (this.#isDown) {
				this.#log.info('The engine answers.', {model: result.val.model});
			}

			this.#isDown = false;
			this.#state = result.val;
		} else {
			if (!this.#isDown) {
				this.#log.warn('The engine does not answer.', {error: result.val.message});
			}

			this.#isDown = true;
			this.#state = undefined;
		}

		this.#published.publish(this.status);
		return this.#state;
	}

	/** Starts a rollout when the engine lacks the target, and replaces one for an older target. */
	#steer(signal: AbortSignal): void {
		const target = this.#options.target();
		if (!target) {
			return;
		}

		if (this.#running && this.#running.target.version !== target.version) {
			this.#log.info('A newer version was named; the rollout of the older one ends.', {from: this.#running.target.version, to: target.version});
			this.#running.controller.abort();
		}

		const isHeld = this.#state?.model?.name === target.name && this.#state.model.version === target.version;
		if (!isHeld && this.#state && (!this.#running || this.#running.controller.signal.aborted)) {
			this.#start(target, signal);
		}
	}

	#start(target: StagedTarget, signal: AbortSignal): void {
		const previous = this.#running;
		const controller = new AbortController();
		const combined = AbortSignal.any([controller.signal, signal]);
		setMaxListeners(0, combined);
		const run = async (): Promise<void> => {
			await previous?.done;
			try {
				await rollOutStaged(target, this.#rolloutOptions(target), combined);
			} catch (error) {
				this.#log.error('A rollout failed; it starts again.', {error: String(error)});
			} finally {
				if (this.#running?.controller === controller) {
					this.#running = undefined;
				}
			}
		};

		this.#running = {target, controller, done: run()};
	}

	#rolloutOptions(target: StagedTarget): Parameters<typeof rollOutStaged>[1] {
		const {engine, origin, metrics} = this.#options;
		return {
			engine,
			origin,
			pieces: this.#pieces,
			store: this.#exchange.store,
			fetcher: this.#exchange.chunks,
			stage: this.#stage,
			state: () => this.#state,
			refresh: async () => this.#refresh(),
			isTurn: manifest => this.#isTurn(target, manifest),
			onSwitching: isSwitching => {
				this.#isSwitching = isSwitching;
				this.#published.publish(this.status);
			},
			onManifest: ({hash, version}) => {
				this.#hashes.set(version, hash);
				this.#log.info('Transfer begins.', {manifest: hash, version, origin: origin() !== undefined});
			},
			clock: this.#clock,
			log: this.#log,
			metrics,
		};
	}

	#isTurn(target: StagedTarget, {model, version}: StagedManifest): boolean {
		const {members, selfId, service, versionBoundMs} = this.#options;
		return this.#clock.monotonic() - target.learnedAt > versionBoundMs * LATEST_SWITCH_SHARE || maySwitch({
			members: members.members, selfId, service, name: model, manifest: String(version), maxSwitchingShare: SWITCHING_SHARE,
		});
	}
}
