import type {CallRecord} from '../callers/types.js';

/** The 99th percentile of the latency of answered calls that started within a period, in milliseconds. */
export const summariseLatency = (records: readonly CallRecord[], from: number, to: number): number => {
	const latencies = records
		.filter(({result, startedAt}) => result === 'answered' && startedAt >= from && startedAt <= to)
		.map(({milliseconds}) => milliseconds)
		.sort((a, b) => a - b);
	return latencies[Math.min(latencies.length - 1, Math.floor(latencies.length * 0.99))] ?? Number.NaN;
};
