/** One soak run: starts the system, injects faults from the seed, and checks what the callers saw. */
import {delay, describeError, seededRandom} from '@yuccawood/common';
import {Balancer} from '../callers/balancer.js';
import {Callers} from './callers.js';
import {check} from './checks.js';
import type {Evidence, Violation} from './evidence.js';
import {FaultInjector} from './fault-injector.js';
import {Observer} from './observer.js';
import {Operators} from './operators.js';
import {ACCOUNT_KEYS, MODEL, type SoakSize} from './plan.js';
import {drawSchedule} from './schedule.js';
import {SoakSystem} from './system.js';

export type SoakOptions = {
	readonly seed: string;
	readonly seconds: number;
	readonly size: SoakSize;
	readonly progress: (line: string) => void;
};

export type SoakResult = {
	readonly seed: string;
	readonly seconds: number;
	readonly faults: Readonly<Record<string, number>>;
	readonly faultsInjected: number;
	readonly requests: number;
	readonly answered: number;
	readonly refused: number;
	readonly broken: number;
	readonly plannedStops: number;
	readonly editsAccepted: number;
	readonly editsRefused: number;
	readonly recoverySeconds: number;
	readonly violations: readonly Violation[];
};

const RECOVERY_LIMIT_MS = 60_000;

export const runSoak = async ({seed, seconds, size, progress}: SoakOptions): Promise<SoakResult> => {
	const system = new SoakSystem({seed, size});
	const ended = new AbortController();
	const operators = new Operators({system, random: seededRandom(`${seed}/operators`)});
	try {
		await system.start(async () => operators.begin());
		await system.waitUntilReady();
		progress(`The system serves: ${system.fleet.vms.size} VMs.`);
		const balancer = new Balancer({addresses: () => system.entryAddresses});
		await balancer.start();
		const callers = new Callers({
			seed, count: system.plan.callers, choose: () => balancer.pick() ?? system.entryAddresses[0], keys: ACCOUNT_KEYS, model: MODEL, signal: ended.signal,
		});
		const observer = new Observer({system});
		const injector = new FaultInjector({system, operators, callers});
		const watching = observer.run(ended.signal);
		callers.start();
		await injectFaults({
			seed, seconds, injector, progress,
		});
		const recovery = await recover(system, operators);
		ended.abort();
		await Promise.all([watching, callers.finished()]);
		balancer.close();
		const evidence: Evidence = {
			calls: callers.records,
			logs: await system.logs(),
			manifests: new Set(system.versions.map(({manifest}) => manifest)),
			interferences: injector.interferences,
			plannedStops: injector.plannedStops,
			revisions: observer.samples,
			edits: operators.records,
			history: await operators.history(),
		};
		return {
			seed, seconds, faults: injector.counts, ...counts(evidence),
			recoverySeconds: recovery.seconds, violations: [...check(evidence), ...recovery.violations],
		};
	} finally {
		ended.abort();
		await operators.close();
		await system.close();
	}
};

const injectFaults = async ({seed, seconds, injector, progress}: Omit<SoakOptions, 'size'> & {readonly injector: FaultInjector}): Promise<void> => {
	const endsAt = performance.now() + (seconds * 1000);
	for (const {faults, restMs} of drawSchedule(seededRandom(`${seed}/schedule`))) {
		if (performance.now() >= endsAt) {
			return;
		}

		if (faults.length > 0) {
			progress(faults.map(({kind, durationMs}) => `${kind} ${durationMs} ms`).join(' + '));
		}

		await Promise.all(faults.map(async fault => injector.inject(fault)));
		await delay(restMs);
	}
};

/** After the last fault the system has to serve again with one configuration and the version that it names. */
const recover = async (system: SoakSystem, operators: Operators): Promise<{readonly seconds: number; readonly violations: readonly Violation[]}> => {
	const startedAt = performance.now();
	const violations: Violation[] = [];
	try {
		await system.waitUntilReady({limitMs: RECOVERY_LIMIT_MS, manifest: await operators.wantedManifest()});
	} catch (error) {
		const states = await Promise.all([...system.fleet.vms.values()].map(async vm => {
			try {
				const {phase, revision} = await system.fleet.status(vm.id);
				return `${vm.id}: phase ${phase}, revision ${revision}`;
			} catch {
				return `${vm.id}: no answer; ${system.linesOf(vm).slice(-2).join(' | ')}`;
			}
		}));
		violations.push({rule: 'not-recovered', detail: describeError(error), trace: states});
	}

	return {seconds: Math.round(performance.now() - startedAt) / 1000, violations};
};

const counts = ({
	calls, interferences, plannedStops, edits,
}: Evidence) => {
	const results = calls.flatMap(({attempts}) => attempts.map(({result}) => result));
	const count = (wanted: string): number => results.filter(result => result === wanted).length;
	return {
		faultsInjected: interferences.length,
		requests: results.length,
		answered: count('answered'),
		refused: count('refused'),
		broken: count('broken') + count('unreached'),
		plannedStops: plannedStops.length,
		editsAccepted: edits.filter(({result}) => result === 'accepted').length,
		editsRefused: edits.filter(({result}) => result === 'refused').length,
	};
};
