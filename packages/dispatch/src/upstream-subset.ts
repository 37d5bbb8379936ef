/**
Chooses the subset of upstreams that an entry prefers.

An entry knows immediately only about its own requests. If all entries used all engines, that would be a small part of each
engine's load, and prompts of several entries would often meet at one engine. With few entries per engine, an entry knows
most of the engine's load, and each agent sends its reports to few entries.
*/
import {rankByWeight} from '@yuccawood/common';
import {ENTRIES_PER_UPSTREAM, MIN_SUBSET_SIZE} from './constants.js';

const subsetSize = (entryCount: number, upstreamCount: number): number =>
	Math.min(upstreamCount, Math.max(MIN_SUBSET_SIZE, Math.ceil(upstreamCount * ENTRIES_PER_UPSTREAM / Math.max(1, entryCount))));

/** Average number of entries that have the same upstream in their subsets; at least 1. */
export const entriesSharingUpstream = (entryCount: number, upstreamCount: number): number =>
	upstreamCount === 0 ? 1 : Math.max(1, entryCount * subsetSize(entryCount, upstreamCount) / upstreamCount);

/**
Takes a contiguous range of the upstreams in an order that is the same at all entries. The ranges start at even distances,
so that each upstream is in the subsets of about the same number of entries.

@returns ids of the upstreams in the subset; all ids if `selfId` is not among the entries
*/
export const upstreamSubset = ({selfId, entryIds, upstreamIds}: {
	readonly selfId: string;

	/** Ids of all entries, including this one. */
	readonly entryIds: readonly string[];
	readonly upstreamIds: readonly string[];
}): ReadonlySet<string> => {
	const size = subsetSize(entryIds.length, upstreamIds.length);
	const position = rankByWeight('entries', entryIds).indexOf(selfId);
	if (size >= upstreamIds.length || position === -1) {
		return new Set(upstreamIds);
	}

	const order = rankByWeight('upstreams', upstreamIds);
	const start = Math.floor(position * order.length / entryIds.length);
	return new Set(Array.from({length: size}, (_, index) => order[(start + index) % order.length]));
};
