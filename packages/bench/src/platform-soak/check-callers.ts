/** What upstreams got of the requests of callers that had left, and how much time they were given. */
import {longestCalm} from './disruptions.js';
import type {
	Breach, Exchange, Interval, TimedRun,
} from './types.js';

/** Time after a caller has closed its connection in which its request may still reach an upstream. */
const GONE_SLACK_MS = 500;
const MAX_LATE_RUNS = 3;

/** Time by which an upstream may be told more than the caller has left. */
const BUDGET_SLACK_MS = 500;

export type CallerRecord = {
	readonly exchanges: readonly Exchange[];
	readonly runsOf: (requestId: string) => readonly TimedRun[];

	/** Disturbances of the entry to which the request was sent, of the store and of links. */
	readonly disturbancesOf: (exchange: Exchange) => readonly Interval[];

	/** Time within the interval in which this process saw nothing of callers and upstreams. */
	readonly pausedWithin: (interval: Interval) => number;

	/** Time within the interval for which the path to the upstream held everything back. */
	readonly heldWithin?: (upstream: string, interval: Interval) => number;

	/** Time for which an entry must have been undisturbed. */
	readonly stableMs: number;
};

/** Broken promises, and what was not judged because the entry had been disturbed just before. */
export type CallerReport = {
	readonly breaches: ReadonlyArray<Omit<Breach, 'at'> & {readonly at: number}>;
	readonly excused: ReadonlyArray<Omit<Breach, 'at'> & {readonly at: number}>;

	/** Requests of callers that left, and those of their runs that were judged. */
	readonly left: number;
	readonly judgedRuns: number;
};

type Finding = Omit<Breach, 'at'> & {readonly at: number; readonly isExcused: boolean};

const goneIn = ({requestId, kind, entry, leftAt, writtenAt}: Exchange, {at, upstream}: TimedRun, pausedWithin: CallerRecord['pausedWithin']): Omit<Breach, 'at'> | undefined =>
	leftAt !== undefined && at - pausedWithin({from: leftAt, to: at}) > leftAt + GONE_SLACK_MS
		? {promise: 'gone', detail: `${requestId} (${kind}) to entry ${entry} reached ${upstream} after ${Math.round(at - writtenAt)} ms, ${Math.round(at - leftAt)} ms after its caller had left`}
		: undefined;

/** An entry can't know for how long a path will hold a request back, and the time counts as of when it passes the request on. */
const budgetIn = (
	{requestId, kind, entry, writtenAt, limitMs}: Exchange,
	{at, upstream, remainingMs}: TimedRun,
	{pausedWithin, heldWithin = () => 0}: Pick<CallerRecord, 'pausedWithin' | 'heldWithin'>,
): Omit<Breach, 'at'> | undefined => {
	const leftMs = writtenAt + limitMs - at + pausedWithin({from: writtenAt, to: at}) + heldWithin(upstream, {from: writtenAt, to: at});
	return remainingMs === undefined || remainingMs > leftMs + BUDGET_SLACK_MS
		? {promise: 'budget', detail: `${requestId} (${kind}) to entry ${entry} was given ${remainingMs ?? 'no'} ms at ${upstream}; its caller had ${Math.round(leftMs)} ms left`}
		: undefined;
};

export const checkCallers = ({exchanges, runsOf, disturbancesOf, pausedWithin, heldWithin, stableMs}: CallerRecord): CallerReport => {
	const findings: Finding[] = [];
	let judgedRuns = 0;
	for (const exchange of exchanges) {
		for (const run of runsOf(exchange.requestId)) {
			const isExcused = longestCalm({from: run.at - stableMs, to: run.at}, disturbancesOf(exchange)) < stableMs;
			judgedRuns += isExcused ? 0 : 1;
			for (const finding of [goneIn(exchange, run, pausedWithin), budgetIn(exchange, run, {pausedWithin, heldWithin})]) {
				if (finding) {
					findings.push({...finding, at: run.at, isExcused});
				}
			}
		}
	}

	const judged = findings.filter(({isExcused}) => !isExcused);
	const gone = judged.filter(({promise}) => promise === 'gone');
	return {
		breaches: judged.filter(({promise}) => promise !== 'gone' || gone.length > MAX_LATE_RUNS),
		excused: [
			...findings.filter(({isExcused}) => isExcused),
			...(gone.length > MAX_LATE_RUNS ? [] : gone),
		],
		left: exchanges.filter(({leftAt}) => leftAt !== undefined).length,
		judgedRuns,
	};
};
