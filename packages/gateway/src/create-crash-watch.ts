import {CrashReview, NO_CRASH_PEERS} from '@yuccawood/crashes';
import {CrashWatch} from './crash-watch.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayOptions} from './gateway-options.js';
import type {UpstreamStates} from './upstream-states.js';

/** One entry at a time tries what upstreams crashed under. */
const isFirstEntry = ({view, selfId}: Pick<GatewayOptions, 'view' | 'selfId'>): boolean => [...view.entries.keys()].every(id => id >= selfId);

export const createCrashWatch = (options: GatewayOptions, states: UpstreamStates): Pick<GatewayContext, 'crashReview' | 'crashWatch'> => {
	const {clock, crashPeers = NO_CRASH_PEERS, shareCrashCount} = options;
	const log = options.log.part('crashes');
	const crashReview = new CrashReview({
		clock, log, peers: crashPeers, shareCrashCount, mayTry: () => isFirstEntry(options),
		lastDataAt: key => states.find(key)?.signs.lastDataAt,
	});
	return {
		crashReview,
		crashWatch: new CrashWatch({
			clock, log, review: crashReview, signsOf: key => states.find(key)?.signs,
		}),
	};
};
