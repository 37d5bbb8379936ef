/**
Chooses the upstreams that an entry uses before all others.

Load pattern: many entries before many engines. Each entry knows at once only what it sends itself; when all entries use
all engines, that is a small part, and prompts of several entries meet at one engine. With few entries for each engine an
entry knows most of its load, and an agent reports to few entries.
*/
import {rank} from '@yuccawood/common';
import {ENTRIES_PER_UPSTREAM, MIN_SUBSET_SIZE} from './constants.js';

/**
Takes a window over the upstreams in an order that all entries share. The windows begin at even distances, so that each
upstream has the same number of entries.

@returns ids of upstreams; all of them for an entry that does not know its place among the others
*/
export const nearUpstreams = ({selfId, entryIds, upstreamIds}: {
	readonly selfId: string;

	/** All entries, this one included. */
	readonly entryIds: readonly string[];
	readonly upstreamIds: readonly string[];
}): ReadonlySet<string> => {
	const size = Math.max(MIN_SUBSET_SIZE, Math.ceil(upstreamIds.length * ENTRIES_PER_UPSTREAM / Math.max(1, entryIds.length)));
	const position = rank('entries', entryIds).indexOf(selfId);
	if (size >= upstreamIds.length || position === -1) {
		return new Set(upstreamIds);
	}

	const order = rank('upstreams', upstreamIds);
	const start = Math.floor(position * order.length / entryIds.length);
	return new Set(Array.from({length: size}, (_, index) => order[(start + index) % order.length]));
};
