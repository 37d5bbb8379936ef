/** Gossip membership with failure detection, and the upstream lease of an agent. */
export type * from './types.js';
export {Gossip} from './gossip.js';
export type {GossipOptions, GossipTiming, OwnDescription} from './gossip-options.js';
export {LeaseError} from './errors.js';
export {OrderLock} from './order-lock.js';
export {UpstreamLease, type LeaseState, type UpstreamLeaseOptions} from './upstream-lease.js';
