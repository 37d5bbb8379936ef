/** Goodput under overload, fairness, added latency and the use of prefix caches. */
import {delay} from '@yuccawood/common';
import type {CallRecord} from '../callers/types.js';
import {readCounters} from '../fleet/stand-in-control.js';
import {
	ENGINES, ENGINE_CAPACITY, LARGE, SMALL, type RequestsFleet,
} from './requests-fleet.js';

const SMALL_PER_SECOND = 5;
/** Not a multiple of the number of engines, so that calls in turn send each prefix to every engine. */
const PREFIXES = 25;
const PREFIX_CHARACTERS = 640;
const PREFIX_ROUNDS = 6;
const LATENCY_CALLS = 150;
const OVERLOAD_FACTOR = 3;

type Calls = (sequence: number) => Promise<CallRecord>;

/** Starts calls at a fixed rate and waits for all of them. */
const pace = async (perSecond: number, milliseconds: number, call: Calls): Promise<readonly CallRecord[]> => {
	const start = performance.now();
	const pending: Array<Promise<CallRecord>> = [];
	while (performance.now() - start < milliseconds) {
		pending.push(call(pending.length));
		await delay(Math.max(0, start + (pending.length * 1000 / perSecond) - performance.now()));
	}

	return Promise.all(pending);
};

/** Keeps a number of callers busy. */
const saturate = async (callers: number, milliseconds: number, call: Calls): Promise<readonly CallRecord[]> => {
	const start = performance.now();
	const records: CallRecord[] = [];
	await Promise.all(Array.from({length: callers}, async () => {
		while (performance.now() - start < milliseconds) {
			records.push(await call(records.length));
		}
	}));
	return records;
};

const answered = (records: readonly CallRecord[]): readonly CallRecord[] => records.filter(({result}) => result === 'answered');

const percentile = (records: readonly CallRecord[], share: number): number => {
	const sorted = answered(records).map(({milliseconds}) => milliseconds).sort((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
};

/** Answers that fall into the middle of a phase, for a rate without its ramps. */
const rate = (records: readonly CallRecord[], from: number, to: number): number => {
	const ends = answered(records).map(({startedAt, milliseconds}) => startedAt + milliseconds);
	return ends.filter(end => end >= from && end < to).length / ((to - from) / 1000);
};

export const measureOverload = async (fleet: RequestsFleet, milliseconds: number) => {
	const callers = ENGINES.length * ENGINE_CAPACITY;
	const normalStart = Date.now();
	const normal = await saturate(callers, milliseconds, async i => fleet.chat({prompt: `normal ${i}`}));
	const capacity = rate(normal, normalStart + (milliseconds / 4), normalStart + milliseconds);
	const overloadStart = Date.now();
	const [large, small] = await Promise.all([
		pace(capacity * OVERLOAD_FACTOR, milliseconds, async i => fleet.chat({prompt: `large ${i}`, bearer: LARGE})),
		pace(SMALL_PER_SECOND, milliseconds, async i => fleet.chat({prompt: `small ${i}`, bearer: SMALL})),
	]);
	const overloaded = [...large, ...small];
	const goodput = rate(overloaded, overloadStart + (milliseconds / 4), overloadStart + milliseconds);
	return {
		records: [...normal, ...overloaded],
		fields: {
			goodputAtCapacity: capacity,
			goodputAtOverload: goodput,
			goodputRatioAtOverload: goodput / capacity,
			fairnessSmallAccount: answered(small).length / small.length,
			rejectedAsNotRun: overloaded.filter(({result}) => result === 'not-run').length,
			otherFailures: overloaded.filter(({result}) => result !== 'not-run' && result !== 'answered').length,
		},
	};
};

export const measureLatency = async (fleet: RequestsFleet) => {
	const direct: CallRecord[] = [];
	const through: CallRecord[] = [];
	for (let i = 0; i < LATENCY_CALLS; i++) {
		direct.push(await fleet.chatAt(fleet.upstreamOf(ENGINES[i % ENGINES.length]), `direct ${i}`, {tokens: 2}));
		through.push(await fleet.chat({prompt: `through ${i}`, tokens: 2}));
	}

	return {p50AddedMs: percentile(through, 0.5) - percentile(direct, 0.5), p99AddedMs: percentile(through, 0.99) - percentile(direct, 0.99)};
};

const cacheCounters = async (fleet: RequestsFleet): Promise<{readonly hits: number; readonly blocks: number}> => {
	const counters = await Promise.all(ENGINES.map(async id => readCounters(fleet.upstreamOf(id))));
	const sum = (name: string): number => counters.reduce((total, counter) => total + (counter[name] ?? 0), 0);
	return {hits: sum('cache-hits'), blocks: sum('cache-blocks')};
};

const hitRate = async (fleet: RequestsFleet, send: (prompt: string, sequence: number) => Promise<CallRecord>): Promise<number> => {
	const before = await cacheCounters(fleet);
	for (let i = 0; i < PREFIXES * PREFIX_ROUNDS; i++) {
		const prefix = `${i % PREFIXES} `.repeat(PREFIX_CHARACTERS).slice(0, PREFIX_CHARACTERS);
		await send(prefix, i);
	}

	const after = await cacheCounters(fleet);
	return (after.hits - before.hits) / (after.blocks - before.blocks);
};

/** Hit rate of the engines' prefix caches, against calls sent to the engines in turn. */
export const measurePrefixCache = async (fleet: RequestsFleet) => ({
	prefixHitRateRoundRobin: await hitRate(fleet, async (prefix, i) => fleet.chatAt(fleet.upstreamOf(ENGINES[i % ENGINES.length]), `rr ${prefix}`, {tokens: 1})),
	prefixHitRate: await hitRate(fleet, async prefix => fleet.chat({prompt: `own ${prefix}`, tokens: 1})),
});
