import type {Random} from '@yuccawood/common';
import {ANNOUNCE_FANOUT} from './constants.js';

/**
Peers to tell of a new revision: the next one in the order of ids, and others at random.

Random peers alone leave about one process in fifty untold (e^-4 with four each). The next in order is told by someone
as long as both are alive, and the random ones keep the number of steps logarithmic.
*/
export const announcementTargets = <Peer extends {readonly id: string}>(selfId: string, candidates: readonly Peer[], random: Random): readonly Peer[] => {
	const ordered = candidates.toSorted((a, b) => a.id < b.id ? -1 : 1);
	const next = ordered.find(({id}) => id > selfId) ?? ordered[0];
	if (!next) {
		return [];
	}

	return [next, ...random.sample(ordered.filter(({id}) => id !== next.id), ANNOUNCE_FANOUT - 1)];
};
