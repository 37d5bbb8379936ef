/**
Decides what of a copy is not applied at once when the store has gone back to it.

Load pattern: the store was away for a moment and has lost its last seconds. Upstreams that had left are listed again, those
that had come are missing, and so are evacuations and the entries of this system. All of them are written again within
seconds, if they still hold; until then, what is in force is newer than the copy.
*/
import type {Announcement, Upstream} from './types.js';

export type CopiedItem = {
	readonly announcement: Announcement;

	/** The upstream of this id as it is listed now. */
	readonly listed: Upstream | undefined;

	/** Whether the key of the item was removed before the store went back. */
	readonly wasRemoved: boolean;
};

/** @returns whether the item waits until its writer had time to write it again */
export const isHeldBack = ({announcement, listed, wasRemoved}: CopiedItem): boolean => {
	switch (announcement.kind) {
		case 'upstream': {
			const {upstream} = announcement;
			return upstream === undefined || (upstream.state === 'ready' && (wasRemoved || (listed?.key === upstream.key && listed.state === 'draining')));
		}

		case 'evacuation': {
			return !announcement.isInForce || wasRemoved;
		}

		case 'entry': {
			return announcement.address === undefined || wasRemoved;
		}

		case 'crasher': {
			return announcement.crashes === undefined;
		}

		case 'configuration':
		case 'target':
		case 'engines':
		case 'other': {
			// Versions and documents are applied only if they are newer than what is in force.
			return false;
		}
	}
};
