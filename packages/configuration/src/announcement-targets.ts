import type {Random} from '@yuccawood/common';
import {ANNOUNCE_FANOUT} from './constants.js';

/**
Chooses the peers to notify of a new revision: the next one in the order of ids, and others at random.

With random peers only, four from each process, no announcement reaches about one process in fifty (e^-4). Notifying the
next in order as well reaches every live process; the random ones keep the number of hops logarithmic.
*/
export const announcementTargets = <Peer extends {readonly id: string}>(selfId: string, candidates: readonly Peer[], random: Random): readonly Peer[] => {
	const ordered = candidates.toSorted((a, b) => a.id < b.id ? -1 : 1);
	const next = ordered.find(({id}) => id > selfId) ?? ordered[0];
	if (!next) {
		return [];
	}

	return [next, ...random.sample(ordered.filter(({id}) => id !== next.id), ANNOUNCE_FANOUT - 1)];
};
