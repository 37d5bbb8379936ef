/** Promises of upstreams that hold from a time after the store accepted a change. */
import {longestCalm} from './disruptions.js';
import type {Breach, Interval, TimedRun} from './types.js';

/** A change that the store accepted, and the runs that it forbids. */
export type Change = {
	readonly promise: 'version' | 'drain';
	readonly at: number;
	readonly boundMs: number;
	readonly subject: string;
	readonly forbids: (run: TimedRun) => boolean;
};

export type Calm = {
	/** Impairments of the store, prolonged by the time after which it counts as stable, and of links. */
	readonly core: readonly Interval[];

	/** Disturbances of the entry that sent the run on. */
	readonly entry: readonly Interval[];

	/** Time for which an entry must have been undisturbed. */
	readonly stableMs: number;
};

/**
The bound of a change counts in one stretch without impairments of the store and of links. A run is judged if its entry was
undisturbed for `stableMs` before it.
*/
export const checkBounds = (run: TimedRun, changes: readonly Change[], {core, entry, stableMs}: Calm): ReadonlyArray<Omit<Breach, 'at'>> => {
	const recent = {from: run.at - stableMs, to: run.at};
	if (longestCalm(recent, [...core, ...entry]) < stableMs) {
		return [];
	}

	return changes
		.filter(({at, boundMs, forbids}) => at + boundMs < run.at && forbids(run) && longestCalm({from: at, to: run.at}, core) > boundMs)
		.map(({promise, at, subject}) => ({promise, detail: `${run.requestId} began at ${run.upstream} ${Math.round(run.at - at)} ms after ${subject}`}));
};
