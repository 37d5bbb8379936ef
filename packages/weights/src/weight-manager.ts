/** Keeps the upstream of one agent at the target version of its model and of the adapters that extend the model. */
import {setMaxListeners} from 'node:events';
import {
	Publisher, SILENT_LOG, SystemClock, systemRandom, type Clock, type Log,
} from '@yuccawood/common';
import type {ModelConfiguration} from '@yuccawood/configuration';
import type {ServedVersion} from '@yuccawood/membership';
import type {Stream} from 'most';
import {DEFAULT_BALANCE, ENGINE_POLL_MS, RELEASE_AFTER_MS} from './constants.js';
import {EngineMonitor} from './engine-monitor.js';
import {EngineCommands} from './engine-commands.js';
import {WeightExchange} from './weight-exchange.js';
import {publishWeights} from './publish-weights.js';
import {Retirement} from './retirement.js';
import {rollOut} from './rollout.js';
import type {ServingVersions, WeightManagerOptions, WeightStatus} from './types.js';

/** A rollout in progress; `controller` cancels it, and `done` resolves when it has ended. */
type RunningRollout = {readonly target: ModelConfiguration; readonly controller: AbortController; readonly done: Promise<void>};

const isEqual = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

export class WeightManager implements ServingVersions {
	readonly #options: WeightManagerOptions;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #exchange: WeightExchange;
	readonly #monitor: EngineMonitor;
	readonly #commands: EngineCommands;
	readonly #retirement: Retirement;
	readonly #servingPublisher = new Publisher<readonly ServedVersion[]>();

	/** Rollouts in progress, by name of the model or adapter. */
	readonly #rollouts = new Map<string, RunningRollout>();

	/** Name of the model or adapter by manifest hash, for the versions in the engine that this agent has verified. */
	readonly #verified = new Map<string, string>();

	/** Manifest hashes of the active versions that are being verified. */
	readonly #verifying = new Set<string>();
	#serving: readonly ServedVersion[] = [];
	#pauseAborter = new AbortController();

	constructor(options: WeightManagerOptions) {
		const {clock = new SystemClock(), random = systemRandom(), log = SILENT_LOG, engine, fencing, settings} = options;
		this.#options = options;
		this.#clock = clock;
		this.#log = log.part('weights');
		this.#exchange = new WeightExchange({
			...options, clock, random, log: this.#log, balance: () => options.configuration.current?.configuration.rollout.balance ?? DEFAULT_BALANCE,
		});
		this.#monitor = new EngineMonitor({engine, log: this.#log});
		this.#commands = new EngineCommands({engine, fencing});
		this.#retirement = new Retirement({
			store: this.#exchange.store,
			manifestLibrary: this.#exchange.manifestLibrary,
			commands: this.#commands,
			monitor: this.#monitor,
			clock,
			log: this.#log,
			releaseAfterMs: settings.releaseAfterMs ?? RELEASE_AFTER_MS,
		});
		options.peerServer.method('weights.status', () => this.status);
	}

	get serving(): readonly ServedVersion[] {
		return this.#serving;
	}

	get changes(): Stream<readonly ServedVersion[]> {
		return this.#servingPublisher.changes;
	}

	/** State for `weights.status`. */
	get status(): WeightStatus {
		const rollouts = [...this.#rollouts.values()].map(({target: {name, version, manifest}}) => ({name, version, manifest}));
		const {complete, reservedBytes} = this.#exchange.store;
		return {
			serving: this.#serving, rollouts, held: complete, reservedBytes,
		};
	}

	/** Whether this agent has verified the version with this manifest hash. The version need not be active. */
	isVerified(name: string, manifest: string): boolean {
		return this.#verified.get(manifest) === name;
	}

	/** Records bytes of live requests and responses. Transfers use only the part of the link that is left. */
	reportLiveBytes(bytes: number): void {
		this.#exchange.linkBudget.reportBytes(bytes);
	}

	/** Records the latency of a live request. Transfers slow down while latency is above its recent baseline. */
	reportLiveLatency(milliseconds: number): void {
		this.#exchange.linkBudget.reportLatency(milliseconds);
	}

	/** Runs until the signal aborts. */
	async start(signal: AbortSignal): Promise<void> {
		const subscription = this.#options.configuration.changes.subscribe({
			next: () => {
				this.#wake();
			},
			error() {
				// The configuration stream reports no errors.
			},
			complete() {
				// The configuration stream only completes when the process ends.
			},
		});
		setMaxListeners(0, signal);
		while (!signal.aborted) {
			try {
				await this.#reconcile(signal);
			} catch (error) {
				this.#log.error('Applying the configuration to the engine failed. It is retried after the poll interval.', {error: String(error)});
			}

			await this.#pause(signal);
		}

		subscription.unsubscribe();
		await Promise.all([...this.#rollouts.values()].map(async ({done}) => done));
		await this.#exchange.close();
	}

	/** Waits for the poll interval, or until `#wake` is called. */
	async #pause(signal: AbortSignal): Promise<void> {
		await this.#clock.sleep(this.#options.settings.enginePollMs ?? ENGINE_POLL_MS, AbortSignal.any([signal, this.#pauseAborter.signal]));
		this.#pauseAborter = new AbortController();
	}

	#wake(): void {
		this.#pauseAborter.abort();
	}

	/** Target versions of this agent's model and of the adapters that extend it. */
	get #targets(): readonly ModelConfiguration[] {
		const {configuration, service} = this.#options;
		const models = configuration.current?.configuration.models ?? [];
		return models.filter(({kind, name, base}) => kind === 'model' ? name === service : base === service);
	}

	/**
	Compares the engine with the configuration: cancels obsolete rollouts, starts missing ones, publishes the state and
	retires unused versions.
	*/
	async #reconcile(signal: AbortSignal): Promise<void> {
		const targets = this.#targets;
		for (const [name, {target, controller}] of this.#rollouts) {
			if (!targets.some(current => current.name === name && current.manifest === target.manifest)) {
				this.#log.info('The target version was replaced or removed. Its rollout is cancelled.', {name, version: target.version});
				controller.abort();
			}
		}

		await this.#monitor.refresh();
		this.#verifyActiveVersions(targets, signal);
		if (this.#monitor.state) {
			for (const target of targets) {
				if (!this.#monitor.isActive(target.manifest)) {
					this.#startRollout(target, signal);
				}
			}
		}

		this.#publish();
		const active = this.#monitor.versions.filter(version => version.active && targets.some(({name}) => name === version.name));
		await this.#retirement.retireUnused(new Set([...targets, ...active].map(({manifest}) => manifest)));
	}

	/** Verifies versions that are active in the engine but were not loaded by this agent, for example after its restart. */
	#verifyActiveVersions(targets: readonly ModelConfiguration[], signal: AbortSignal): void {
		for (const version of this.#monitor.versions) {
			const {manifest, active} = version;
			if (!active || this.#verified.has(manifest) || this.#verifying.has(manifest)) {
				continue;
			}

			if (targets.some(target => target.manifest === manifest)) {
				this.#verified.set(manifest, version.name);
				continue;
			}

			this.#verifying.add(manifest);
			void this.#verifyVersion(version, signal);
		}
	}

	/**
	Fetches the manifest whose hash the engine reports for the version that it runs, and checks that it describes this
	version.
	*/
	async #verifyVersion(version: ServedVersion, signal: AbortSignal): Promise<void> {
		const verified = await this.#exchange.manifestFetcher.fetch(version.manifest, version, signal);
		this.#verifying.delete(version.manifest);
		if (verified) {
			this.#verified.set(version.manifest, version.name);
			this.#wake();
		}
	}

	/** Starts a rollout of the target version, unless one for the same model or adapter is still running and not cancelled. */
	#startRollout(target: ModelConfiguration, signal: AbortSignal): void {
		const previous = this.#rollouts.get(target.name);
		if (previous && !previous.controller.signal.aborted) {
			return;
		}

		const controller = new AbortController();
		const rolloutSignal = AbortSignal.any([controller.signal, signal]);
		setMaxListeners(0, rolloutSignal);
		const run = async (): Promise<void> => {
			// Waits, so that no command of the replaced rollout reaches the engine after a command of this one.
			await previous?.done;
			await rollOut(target, this.#rolloutOptions(), rolloutSignal);
			await this.#monitor.refresh();
			if (this.#rollouts.get(target.name)?.controller === controller) {
				this.#rollouts.delete(target.name);
			}

			this.#publish();
			this.#wake();
		};

		this.#rollouts.set(target.name, {target, controller, done: run()});
	}

	#rolloutOptions(): Parameters<typeof rollOut>[1] {
		return {
			...this.#options,
			engine: this.#options.engine,
			commands: this.#commands,
			store: this.#exchange.store,
			manifestFetcher: this.#exchange.manifestFetcher,
			chunkFetcher: this.#exchange.chunks,
			clock: this.#clock,
			log: this.#log,
			freeStoreSpace: () => {
				this.#retirement.releaseUnusedChunks();
			},
			onChunksHeld: () => {
				this.#publish();
			},
			onConfirmed: (manifest, name) => {
				this.#verified.set(manifest, name);
			},
			isLoaded: async manifest => this.#monitor.isLoaded(manifest),
		};
	}

	/** Publishes the verified active versions to subscribers and to the other members. */
	#publish(): void {
		const names = new Set(this.#targets.map(({name}) => name));
		const serving = this.#monitor.versions
			.filter(version => version.active && this.#verified.has(version.manifest) && names.has(version.name))
			.map(({name, version, manifest, kind}) => ({
				name, version, manifest, kind,
			}));
		if (!isEqual(serving, this.#serving)) {
			this.#serving = serving;
			this.#servingPublisher.publish(serving);
		}

		const {members, service} = this.#options;
		publishWeights({
			members, service, served: serving, held: this.#exchange.store.complete, capacity: this.#monitor.state?.capacity,
		});
	}
}
