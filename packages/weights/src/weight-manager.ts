/** Keeps the upstream of one agent on the configured version of its model and of the adapters that extend it. */
import {setMaxListeners} from 'node:events';
import {
	Publisher, SILENT_LOG, SystemClock, systemRandom, type Clock, type Log,
} from '@yuccawood/common';
import type {ModelConfiguration} from '@yuccawood/configuration';
import type {ServedVersion} from '@yuccawood/membership';
import type {Stream} from 'most';
import {DEFAULT_BALANCE, ENGINE_POLL_MS, RELEASE_AFTER_MS} from './constants.js';
import {EngineMonitor} from './engine-monitor.js';
import {EngineOrders} from './engine-orders.js';
import {Exchange} from './exchange.js';
import {publishWeights} from './publish-weights.js';
import {Retirement} from './retirement.js';
import {rollOut} from './rollout.js';
import type {ServingVersions, WeightManagerOptions, WeightStatus} from './types.js';

type RunningRollout = {readonly target: ModelConfiguration; readonly controller: AbortController; readonly done: Promise<void>};

const isSame = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

export class WeightManager implements ServingVersions {
	readonly #options: WeightManagerOptions;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #exchange: Exchange;
	readonly #monitor: EngineMonitor;
	readonly #orders: EngineOrders;
	readonly #retirement: Retirement;
	readonly #published = new Publisher<readonly ServedVersion[]>();
	readonly #rollouts = new Map<string, RunningRollout>();

	/** Manifests whose version in the engine this agent has verified, with the name of the model or adapter. */
	readonly #verified = new Map<string, string>();
	readonly #adopting = new Set<string>();
	#serving: readonly ServedVersion[] = [];
	#pauseEnd = new AbortController();

	constructor(options: WeightManagerOptions) {
		const {clock = new SystemClock(), random = systemRandom(), log = SILENT_LOG, engine, fencing, settings} = options;
		this.#options = options;
		this.#clock = clock;
		this.#log = log.part('weights');
		this.#exchange = new Exchange({
			...options, clock, random, log: this.#log, balance: () => options.configuration.current?.configuration.rollout.balance ?? DEFAULT_BALANCE,
		});
		this.#monitor = new EngineMonitor({engine, log: this.#log});
		this.#orders = new EngineOrders({engine, fencing});
		this.#retirement = new Retirement({
			store: this.#exchange.store,
			library: this.#exchange.library,
			orders: this.#orders,
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
		return this.#published.changes;
	}

	get status(): WeightStatus {
		const rollouts = [...this.#rollouts.values()].map(({target: {name, version, manifest}}) => ({name, version, manifest}));
		const {complete, reservedBytes} = this.#exchange.store;
		return {
			serving: this.#serving, rollouts, held: complete, reservedBytes,
		};
	}

	/** Tells whether this agent verified the version with this manifest hash, whether it is active now or not. */
	isVerified(name: string, manifest: string): boolean {
		return this.#verified.get(manifest) === name;
	}

	/** Records bytes of live requests and responses; transfers leave them their share of the link. */
	reportLiveBytes(bytes: number): void {
		this.#exchange.budget.reportBytes(bytes);
	}

	/** Records the latency of a live request; transfers slow down while it is above its recent baseline. */
	reportLiveLatency(milliseconds: number): void {
		this.#exchange.budget.reportLatency(milliseconds);
	}

	/** Runs until the signal aborts. */
	async start(signal: AbortSignal): Promise<void> {
		const subscription = this.#options.configuration.changes.subscribe({
			next: () => {
				this.#wake();
			},
			error() {
				// The stream of configurations does not fail.
			},
			complete() {
				// The stream ends with the process.
			},
		});
		setMaxListeners(0, signal);
		while (!signal.aborted) {
			try {
				await this.#step(signal);
			} catch (error) {
				this.#log.error('A step failed; it is repeated.', {error: String(error)});
			}

			await this.#pause(signal);
		}

		subscription.unsubscribe();
		await Promise.all([...this.#rollouts.values()].map(async ({done}) => done));
		await this.#exchange.close();
	}

	async #pause(signal: AbortSignal): Promise<void> {
		await this.#clock.sleep(this.#options.settings.enginePollMs ?? ENGINE_POLL_MS, AbortSignal.any([signal, this.#pauseEnd.signal]));
		this.#pauseEnd = new AbortController();
	}

	#wake(): void {
		this.#pauseEnd.abort();
	}

	/** The configured version of this agent's model and of the adapters that extend it. */
	get #targets(): readonly ModelConfiguration[] {
		const {configuration, service} = this.#options;
		const models = configuration.current?.configuration.models ?? [];
		return models.filter(({kind, name, base}) => kind === 'model' ? name === service : base === service);
	}

	async #step(signal: AbortSignal): Promise<void> {
		const targets = this.#targets;
		for (const [name, {target, controller}] of this.#rollouts) {
			if (!targets.some(wanted => wanted.name === name && wanted.manifest === target.manifest)) {
				this.#log.info('The version was replaced or withdrawn; its rollout is cancelled.', {name, version: target.version});
				controller.abort();
			}
		}

		await this.#monitor.refresh();
		this.#adoptLoaded(targets, signal);
		if (this.#monitor.state) {
			for (const target of targets) {
				if (!this.#monitor.isActive(target.manifest)) {
					this.#startRollout(target, signal);
				}
			}
		}

		this.#publish();
		const active = this.#monitor.versions.filter(version => version.active && targets.some(({name}) => name === version.name));
		await this.#retirement.run(new Set([...targets, ...active].map(({manifest}) => manifest)));
	}

	/** Verifies versions that were already active in the engine when this agent started. */
	#adoptLoaded(targets: readonly ModelConfiguration[], signal: AbortSignal): void {
		for (const version of this.#monitor.versions) {
			const {manifest, active} = version;
			if (!active || this.#verified.has(manifest) || this.#adopting.has(manifest)) {
				continue;
			}

			if (targets.some(target => target.manifest === manifest)) {
				this.#verified.set(manifest, version.name);
				continue;
			}

			this.#adopting.add(manifest);
			void this.#verifyLoaded(version, signal);
		}
	}

	/** The engine computed the hash of what it runs; the manifest with this hash tells whether that is the named version. */
	async #verifyLoaded(version: ServedVersion, signal: AbortSignal): Promise<void> {
		const known = await this.#exchange.manifests.fetch(version.manifest, version, signal);
		this.#adopting.delete(version.manifest);
		if (known) {
			this.#verified.set(version.manifest, version.name);
			this.#wake();
		}
	}

	#startRollout(target: ModelConfiguration, signal: AbortSignal): void {
		const previous = this.#rollouts.get(target.name);
		if (previous && !previous.controller.signal.aborted) {
			return;
		}

		const controller = new AbortController();
		const rolloutSignal = AbortSignal.any([controller.signal, signal]);
		setMaxListeners(0, rolloutSignal);
		const run = async (): Promise<void> => {
			// Commands of the replaced rollout must not reach the engine after those of this one.
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
			orders: this.#orders,
			store: this.#exchange.store,
			manifests: this.#exchange.manifests,
			chunks: this.#exchange.chunks,
			clock: this.#clock,
			log: this.#log,
			makeRoom: () => {
				this.#retirement.makeRoom();
			},
			onHeld: () => {
				this.#publish();
			},
			onConfirmed: (manifest, name) => {
				this.#verified.set(manifest, name);
			},
			isLoaded: async manifest => this.#monitor.isLoaded(manifest),
		};
	}

	#publish(): void {
		const names = new Set(this.#targets.map(({name}) => name));
		const serving = this.#monitor.versions
			.filter(version => version.active && this.#verified.has(version.manifest) && names.has(version.name))
			.map(({name, version, manifest, kind}) => ({
				name, version, manifest, kind,
			}));
		if (!isSame(serving, this.#serving)) {
			this.#serving = serving;
			this.#published.publish(serving);
		}

		const {members, service} = this.#options;
		publishWeights({
			members, service, served: serving, held: this.#exchange.store.complete, capacity: this.#monitor.state?.capacity,
		});
	}
}
