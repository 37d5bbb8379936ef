/** Heartbeats, failure detection, upstream lease. */
export type * from './types.js';
