/**
Finds the suspects that explain crashes of upstreams.

A request that crashes its upstream takes many others with it, so presence at a crash says little. What tells the cause from
its company is that no run of it ever goes on well. So only crashes since the last success of a suspect count for it, and a
crash that one suspect explains does not count for another.
*/
import {MIN_CRASHES, RECENT_SUCCESS_MS, SIMULTANEOUS_MS} from './constants.js';
import type {Attribution, Crash} from './types.js';

export type AttributionOptions = {
	/** Time of the latest success of a suspect; undefined if none is known. */
	readonly lastSuccessAt: (id: string) => number | undefined;

	/** Start of the observations. Before it, successes are unknown. */
	readonly observedSince: number;

	/** Crashes from which a suspect counts as the cause, if it was present at all since its first one; otherwise one more is needed. */
	readonly minCrashes?: number;
};

type Candidate = {readonly id: string; readonly depth: number; weight: number};

/** @returns the causes, the one that explains most crashes first */
export const attributeCrashes = (crashes: readonly Crash[], options: AttributionOptions): readonly Attribution[] => {
	const {minCrashes = MIN_CRASHES} = options;
	let unexplained: readonly Crash[] = crashes.toSorted((a, b) => a.at - b.at);
	const attributions: Attribution[] = [];
	for (;;) {
		const cause = mostSuspicious(unexplained, options);
		if (!cause || cause.weight < minCrashes) {
			return attributions;
		}

		const {id, weight} = cause;
		const left = unexplained.filter(crash => !countsFor(crash, id, options));
		const firstAt = unexplained.find(crash => countsFor(crash, id, options))!.at;
		const explainsAll = left.every(({at}) => at < firstAt);
		if (!explainsAll && weight <= minCrashes) {
			return attributions;
		}

		attributions.push({id, crashes: unexplained.length - left.length});
		unexplained = left;
	}
};

const countsFor = ({suspects, at}: Crash, id: string, {lastSuccessAt}: AttributionOptions): boolean => suspects.has(id) && at > (lastSuccessAt(id) ?? Number.NEGATIVE_INFINITY);

/** Of those with equal weight, the one without a success for longest, and then the narrowest. */
const mostSuspicious = (crashes: readonly Crash[], options: AttributionOptions): Candidate | undefined => {
	const candidates = new Map<string, Candidate>();
	for (const group of groupsOf(crashes)) {
		for (const [id, {depth, count}] of presenceIn(group, options)) {
			const candidate = candidates.get(id) ?? {id, depth, weight: 0};
			candidate.weight += weightIn(group, id, {count, options});
			candidates.set(id, candidate);
		}
	}

	const successAt = (id: string): number => options.lastSuccessAt(id) ?? Number.NEGATIVE_INFINITY;
	let best: Candidate | undefined;
	for (const candidate of candidates.values()) {
		if (!best || candidate.weight > best.weight
			|| (candidate.weight === best.weight && (successAt(candidate.id) < successAt(best.id) || (successAt(candidate.id) === successAt(best.id) && candidate.depth > best.depth)))) {
			best = candidate;
		}
	}

	return best;
};

/** Crashes within {@link SIMULTANEOUS_MS} of the first one of their group. */
const groupsOf = (crashes: readonly Crash[]): ReadonlyArray<readonly Crash[]> => {
	const groups: Crash[][] = [];
	for (const crash of crashes) {
		const group = groups.at(-1);
		if (group && crash.at - group[0].at <= SIMULTANEOUS_MS) {
			group.push(crash);
		} else {
			groups.push([crash]);
		}
	}

	return groups;
};

const presenceIn = (group: readonly Crash[], options: AttributionOptions): ReadonlyMap<string, {readonly depth: number; readonly count: number}> => {
	const presence = new Map<string, {depth: number; count: number}>();
	for (const crash of group) {
		for (const [id, depth] of crash.suspects) {
			if (countsFor(crash, id, options)) {
				presence.set(id, {depth, count: (presence.get(id)?.count ?? 0) + 1});
			}
		}
	}

	return presence;
};

/**
Simultaneous crashes may have a common cause. They count once for a suspect that ran well shortly before, or that was
present at no more than half of them.
*/
const weightIn = (group: readonly Crash[], id: string, {count, options}: {readonly count: number; readonly options: AttributionOptions}): number => {
	const {lastSuccessAt, observedSince} = options;
	const successAt = Math.max(lastSuccessAt(id) ?? observedSince, observedSince);
	return count * 2 <= group.length || successAt > group[0].at - RECENT_SUCCESS_MS ? 1 : count;
};
