/** Orders under faults, silent connections and the drain of a VM. */
import {delay, seededRandom} from '@yuccawood/common';
import {Balancer} from '../callers/balancer.js';
import {checkRecords, type ServiceRun} from '../callers/check-records.js';
import {Traffic} from '../callers/traffic.js';
import type {CallRecord} from '../callers/types.js';
import {waitUntil} from '../fleet/child.js';
import {readLog, setFaults} from '../fleet/stand-in-control.js';
import {
	ENGINES, LARGE, MODEL, type RequestsFleet,
} from './requests-fleet.js';

const SERVICES = ['orders-1', 'orders-2'];
const RECOVERY_CALLS = 8;
const DRAINED_VM = ENGINES[2];
const FAULT_PAUSE_MS = 700;

type EngineRun = ServiceRun & {readonly at: number};

/** Orders are sent again by their callers until they are known to have run, while answers are lost, calls are reset and an agent is killed. */
export const measureOrders = async (fleet: RequestsFleet, otherRecords: readonly CallRecord[]) => {
	const balancer = new Balancer({addresses: () => fleet.fleet.entries.map(({callers}) => callers ?? '')});
	await balancer.start();
	const traffic = new Traffic({
		balancer, random: seededRandom('requests'), model: MODEL, manifests: [], chatCallers: 0, orderCallers: 6, bearer: LARGE,
	});
	traffic.start();
	for (const id of SERVICES) {
		await delay(FAULT_PAUSE_MS);
		await setFaults(fleet.upstreamOf(id), {loseAnswers: 3});
		await delay(FAULT_PAUSE_MS);
		await setFaults(fleet.upstreamOf(id), {resetCalls: 3});
	}

	await fleet.fleet.find('orders-1').daemon.kill();
	await delay(FAULT_PAUSE_MS);
	fleet.fleet.restartDaemon('orders-1');
	await delay(FAULT_PAUSE_MS);
	await traffic.stop();
	balancer.close();
	const runs = await Promise.all(SERVICES.map(async id => readLog<ServiceRun>(fleet.upstreamOf(id))));
	return {orders: traffic.records.length, ...checkRecords([...otherRecords, ...traffic.records], runs.flat())};
};

/** Longest time to an answer after all established connections to the engines have gone silent. */
export const measureSilentPaths = async (fleet: RequestsFleet): Promise<{readonly silentPathRecoverySeconds: number; readonly silentPathFailures: number}> => {
	await Promise.all(Array.from({length: RECOVERY_CALLS}, async (_, i) => fleet.chat({prompt: `before ${i}`})));
	fleet.silenceUpstreams();
	const records = await Promise.all(Array.from({length: RECOVERY_CALLS}, async (_, i) => fleet.chat({prompt: `after ${i}`, tokens: 2})));
	return {
		silentPathRecoverySeconds: Math.max(...records.map(({milliseconds}) => milliseconds)) / 1000,
		silentPathFailures: records.filter(({result}) => result !== 'answered').length,
	};
};

/** Time from the signal to stop until the last request that the VM's engine begins. */
export const measureDrain = async (fleet: RequestsFleet): Promise<{readonly drainSeconds: number; readonly cutByDrain: number}> => {
	const {daemon} = fleet.fleet.find(DRAINED_VM);
	const records: CallRecord[] = [];
	const over = new AbortController();
	const callers = Promise.all(Array.from({length: 6}, async (_, caller) => {
		while (!over.signal.aborted) {
			records.push(await fleet.chat({prompt: `drain ${caller} ${records.length}`}));
		}
	}));
	await delay(FAULT_PAUSE_MS);
	const signalledAt = Date.now();
	daemon.signal('SIGTERM');
	await waitUntil(() => !daemon.isRunning, {subject: 'the drained agent to end'});
	await delay(FAULT_PAUSE_MS);
	over.abort();
	await callers;
	const log = await readLog<EngineRun>(fleet.upstreamOf(DRAINED_VM));
	const last = Math.max(signalledAt, ...log.filter(({event}) => event === 'run').map(({at}) => at));
	return {drainSeconds: (last - signalledAt) / 1000, cutByDrain: records.filter(({result}) => result !== 'answered' && result !== 'not-run').length};
};
