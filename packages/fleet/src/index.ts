/** Observed state of configuration, upstreams and target versions, and how a process keeps it current. */
export type * from './types.js';
export type * from './item-source.js';
export type * from './documents-in-force.js';
export type {FleetChange} from './fleet-changes.js';
export {FleetView} from './fleet-view.js';
export {StoreFollower, type StoreFollowerOptions} from './store-follower.js';
export type {AskPeer} from './peer-poll.js';
export type {PeerAnswer, PeerQuestion} from './peer-items.js';
export {ItemLog} from './item-log.js';
export {RevisionTimes} from './revision-times.js';
export {SeenRevisions} from './seen-revisions.js';
export {AGE_TOLERANCE_MS, BULKY_TIMEOUT_MS, PEER_CALL_TIMEOUT_MS} from './constants.js';
export {engineDirectoryOf, isSameDirectory} from './engine-directory.js';
export {newestUpstreams} from './newest-upstreams.js';
