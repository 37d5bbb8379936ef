/** Carries out the faults of a schedule and records when they may have had an effect. */
import {delay} from '@yuccawood/common';
import {waitUntil} from '../fleet/child.js';
import type {FleetVm} from '../fleet/types.js';
import {setFaults} from '../fleet/stand-in-control.js';
import type {Callers} from './callers.js';
import {QUIET_BEFORE_STOP_MS, type Interference, type PlannedStop} from './evidence.js';
import type {Operators} from './operators.js';
import type {Fault, FaultKind} from './schedule.js';
import type {SoakSystem} from './system.js';

export type FaultInjectorOptions = {
	readonly system: SoakSystem;
	readonly operators: Operators;
	readonly callers: Callers;
};

const POISON_MARKER = '[crash the engine]';
const STOP_LIMIT_MS = 25_000;
const RESTART_PAUSE_MS = 500;
const READY_LIMIT_MS = 20_000;
const SLOW_LATENCY_MS = 400;
const CORRUPT_SHARE = 0.3;
const SLOW_FACTOR = 8;

type Action = (fault: Fault) => Promise<string>;

export class FaultInjector {
	readonly #system: SoakSystem;
	readonly #operators: Operators;
	readonly #callers: Callers;
	readonly #interferences: Interference[] = [];
	readonly #plannedStops: PlannedStop[] = [];
	readonly #counts = new Map<string, number>();
	readonly #actions: Readonly<Record<FaultKind, Action>>;

	constructor({system, operators, callers}: FaultInjectorOptions) {
		this.#system = system;
		this.#operators = operators;
		this.#callers = callers;
		this.#actions = this.#createActions();
	}

	get interferences(): readonly Interference[] {
		return this.#interferences;
	}

	get plannedStops(): readonly PlannedStop[] {
		return this.#plannedStops;
	}

	/** Faults injected by kind. */
	get counts(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#counts);
	}

	/** Runs the fault. @returns its target when it has ended. */
	async inject(fault: Fault): Promise<string> {
		const startedAt = Date.now();
		const target = await this.#actions[fault.kind](fault);
		this.#counts.set(fault.kind, (this.#counts.get(fault.kind) ?? 0) + 1);
		this.#interferences.push({
			kind: fault.kind, target, startedAt, endedAt: Date.now(),
		});
		return target;
	}

	#createActions(): Readonly<Record<FaultKind, Action>> {
		const {fleet} = this.#system;
		const keyValue = (begin: Readonly<Record<string, unknown>>, end?: Readonly<Record<string, unknown>>): Action => async ({durationMs}) => {
			await this.#during(fleet.platform.keyValue, {begin, end, durationMs});
			return 'key-value';
		};

		const origin = (begin: Readonly<Record<string, unknown>>, end?: Readonly<Record<string, unknown>>): Action => async ({durationMs}) => {
			// Weights move only while a rollout runs.
			await Promise.all([this.#during(fleet.platform.origin, {begin, end, durationMs}), this.#operators.changeVersion()]);
			return 'origin';
		};

		const upstream = (kind: 'engine' | 'orders' | '', begin: Readonly<Record<string, unknown>>, end?: Readonly<Record<string, unknown>>): Action => async ({target, durationMs}) => {
			const vm = pick(fleet.agents.filter(({id}) => id.startsWith(kind)), target);
			await this.#during(vm.upstreamAddress!, {begin, end, durationMs});
			return vm.id;
		};

		return {
			kill: async fault => this.#kill(fault),
			freeze: async fault => this.#freeze(fault),
			'cut-upstream': upstream('', {breakConnections: true}),
			'silent-upstream': async fault => this.#silence('upstream', fleet.agents, fault),
			'silent-entry': async fault => this.#silence('callers', fleet.entries, fault),
			'silent-key-value': async fault => this.#silence('keyValue', [...fleet.vms.values()], fault),
			'key-value-outage': async fault => keyValue({outage: (['refused', 'reset', 'silent'] as const)[Math.floor(fault.target * 3)]}, {outage: 'none'})(fault),
			'key-value-slow': keyValue({latencyMs: SLOW_LATENCY_MS}, {latencyMs: 0}),
			'key-value-lost-answers': keyValue({loseAnswers: 5}, {loseAnswers: 0}),
			'leases-lapse': keyValue({expireLeases: true}),
			'corrupt-chunks': origin({corruptShare: CORRUPT_SHARE}, {corruptShare: 0}),
			'origin-stopped': origin({isStopped: true}, {isStopped: false}),
			'origin-cut': origin({cutChunks: 3, truncateManifests: 1}),
			'version-change': async () => {
				await this.#operators.changeVersion();
				return 'model';
			},
			'operator-race': async () => {
				await this.#operators.race();
				return 'document';
			},
			poison: async () => {
				await this.#callers.sendPoison(POISON_MARKER);
				return 'engines';
			},
			'upstream-lost-answers': upstream('', {loseAnswers: 2}, {loseAnswers: 0}),
			async 'upstream-slow'(fault) {
				const vm = pick(fleet.agents, fault.target);
				const isEngine = vm.id.startsWith('engine');
				return upstream(vm.id as 'engine', isEngine ? {slowFactor: SLOW_FACTOR} : {slowPartMs: 200}, isEngine ? {slowFactor: 1} : {slowPartMs: 0})({...fault, target: 0});
			},
			'upstream-down': async fault => upstream('', {downMs: fault.durationMs})(fault),
			'service-reset': upstream('orders', {resetCalls: 2}, {resetCalls: 0}),
			'vm-leaving': async fault => this.#leave(fault),
			'planned-stop': async fault => this.#stop(fault),
		};
	}

	async #during(address: string, {begin, end, durationMs}: {
		readonly begin: Readonly<Record<string, unknown>>;
		readonly end: Readonly<Record<string, unknown>> | undefined;
		readonly durationMs: number;
	}): Promise<void> {
		await setFaultsRepeatedly(address, begin);
		await delay(durationMs);
		if (end) {
			await setFaultsRepeatedly(address, end);
		}
	}

	async #kill({target, durationMs}: Fault): Promise<string> {
		const vm = pick([...this.#system.fleet.vms.values()], target);
		await vm.daemon.kill();
		await delay(durationMs);
		this.#restart(vm);
		return vm.id;
	}

	async #freeze({target, durationMs}: Fault): Promise<string> {
		const {id, daemon} = pick([...this.#system.fleet.vms.values()], target);
		daemon.signal('SIGSTOP');
		// Twice the time of other faults, so that leases and suspicions run out.
		await delay(durationMs * 2);
		daemon.signal('SIGCONT');
		return id;
	}

	async #silence(path: 'upstream' | 'callers' | 'keyValue', vms: readonly FleetVm[], {target, durationMs}: Fault): Promise<string> {
		const {id} = pick(vms, target);
		this.#system.relay(path, id).silence();
		await delay(durationMs);
		return `${path} of ${id}`;
	}

	/** A planned stop in otherwise healthy conditions; the VM is replaced afterwards. */
	async #stop({target}: Fault): Promise<string> {
		this.#system.cutSilent();
		await this.#system.waitUntilReady({limitMs: READY_LIMIT_MS});
		await delay(QUIET_BEFORE_STOP_MS);
		const vm = pick([...this.#system.fleet.vms.values()], target);
		const startedAt = Date.now();
		const exitCode = await vm.daemon.stop(STOP_LIMIT_MS);
		this.#plannedStops.push({
			target: vm.id, startedAt, endedAt: Date.now(), exitCode,
		});
		await delay(RESTART_PAUSE_MS);
		this.#restart(vm);
		return vm.id;
	}

	/** The platform announces that a VM leaves, and the process stops by itself. */
	async #leave({target}: Fault): Promise<string> {
		const vm = pick([...this.#system.fleet.vms.values()], target);
		const startedAt = Date.now();
		await this.#system.showAllLive(vm.id);
		await Promise.race([vm.daemon.exited, delay(STOP_LIMIT_MS)]);
		this.#plannedStops.push({
			target: vm.id, startedAt, endedAt: Date.now(), exitCode: vm.daemon.exitCode,
		});
		await this.#system.showAllLive();
		await vm.daemon.kill();
		this.#restart(vm);
		return vm.id;
	}

	#restart({id, daemon}: FleetVm): void {
		if (!daemon.isRunning) {
			this.#system.fleet.restartDaemon(id);
		}
	}
}

/** Another fault may have closed the stand-in for a while, its control path included. */
const setFaultsRepeatedly = async (address: string, faults: Readonly<Record<string, unknown>>): Promise<void> => {
	await waitUntil(async () => {
		try {
			await setFaults(address, faults);
			return true;
		} catch {
			return false;
		}
	}, {subject: `the stand-in at ${address} to take faults`});
};

const pick = <Item>(items: readonly Item[], target: number): Item => items[Math.floor(target * items.length)];
