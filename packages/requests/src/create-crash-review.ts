import type {Clock} from '@yuccawood/common';
import {CrashExchange, CrashReview} from '@yuccawood/crashes';
import type {EntryServerOptions} from './entry-server-options.js';

/** Finds what upstreams crash under that calls share, with the evidence of all entries. */
export const createCrashReview = (
	{members, peerClient, peerServer, log}: Pick<EntryServerOptions, 'members' | 'peerClient' | 'peerServer' | 'log'>,
	clock: Clock,
): CrashReview => {
	const otherEntries = () => members.members.filter(({id, role}) => role === 'entry' && id !== members.self.id);
	const exchange = new CrashExchange({
		peers: peerClient, peerServer, log, addresses: () => otherEntries().map(({address}) => address),
	});
	const review = new CrashReview({
		clock, log, peers: exchange,
		// An entry that starts later learns of a block by the next crash only.
		shareCrashCount: () => undefined,
		mayTry: () => otherEntries().every(({id}) => id > members.self.id),
		// Agents report deaths of their upstreams, so that a broken connection alone is no crash.
		lastDataAt: () => undefined,
	});
	exchange.start(review);
	return review;
};
