import type {Announcement, AnnouncementContext} from './types.js';

/**
Applies a count that entries share. One whose lease may have expired because of a store outage stays, since entries forget it
after some time by themselves.
*/
export const applyCrashCount = (
	counts: Map<string, number>,
	{id, crashes}: Announcement & {readonly kind: 'crasher'},
	{mayBeLeaseExpiry}: Pick<AnnouncementContext, 'mayBeLeaseExpiry'>,
): void => {
	if (crashes !== undefined) {
		counts.set(id, crashes);
	} else if (!mayBeLeaseExpiry) {
		counts.delete(id);
	}
};
