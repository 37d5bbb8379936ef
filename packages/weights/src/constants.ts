/**
Number of chunks that a transfer requests at the same time. Requests that peers hold cost little, and many of them even
out the load of the trees.
*/
export const TRANSFER_WINDOW = 24;

/**
Number of chunks by which fetches from the origin may run ahead of the chunks that have arrived. The limit lets the
first chunks arrive early.
*/
export const ORIGIN_AHEAD_CHUNKS = 12;

/** Interval of the interim responses that a peer sends while it holds or queues a request, to show that it is alive. */
export const HEARTBEAT_MS = 800;

/** Longest time that a peer holds a request for a chunk that it does not have yet. */
export const MAX_HELD_WAIT_MS = 5000;

/** Time for which a member asks its parent to hold a request. */
export const HELD_WAIT_MS = 2000;

/** Time without a byte or an interim response after which a peer counts as stalled. */
export const STALL_WINDOW_MS = 2500;

/** Time for which an unreachable or stalled peer is not asked. */
export const AVOID_STALLED_MS = 5000;

/** Time for which the sender of a corrupt chunk is not asked. */
export const AVOID_CORRUPT_MS = 30_000;

/** Time for which a member is not asked for a version after it has answered `absent` for longer than `ABSENT_TIMEOUT_MS`. */
export const AVOID_ABSENT_MS = 10_000;

/**
Time for which a member that has not started to fetch a version is asked again. A configuration edit reaches members at
different times.
*/
export const ABSENT_TIMEOUT_MS = 3000;

/** Longest time that a member holds a request for a chunk of a version that it does not fetch. */
export const ABSENT_WAIT_MS = 500;

/** Longest wait for a peer that answers but does not have the chunk yet, at `rollout.balance` 0 and 1. */
export const PARENT_TIMEOUT_AT_BALANCE_0_MS = 30_000;
export const PARENT_TIMEOUT_AT_BALANCE_1_MS = 2000;

/** First and longest pause after a failed fetch from the origin. */
export const ORIGIN_RETRY_MS = 200;
export const MAX_ORIGIN_RETRY_MS = 5000;

/** Time after a failed read from the origin for which it counts as away, and the interval of the reads that find out whether it is back. */
export const ORIGIN_AWAY_MS = 2000;
export const ORIGIN_PROBE_INTERVAL_MS = 200;

/** Time for which a member asks its source to hold a request while the origin is away. */
export const AWAY_WAIT_MS = 500;

/** Number of members that one search for a chunk asks, and the pause before the next search for the same chunk. */
export const HOLDERS_PER_SEARCH = 4;
export const SEARCH_INTERVAL_MS = 800;

/** Number of uploads at the same time. With few, each chunk arrives sooner and can be relayed sooner. */
export const UPLOAD_SLOTS = 3;

/** Time in the upload queue after which a member answers `busy` to its second child, which then asks the first child. */
export const BUSY_AFTER_MS = 700;

/** Bytes written to a peer between two checks of the rate limit. */
export const UPLOAD_SLICE_BYTES = 16 * 1024;

/** Bytes hashed before the event loop can run other work. */
export const HASH_SLICE_BYTES = 256 * 1024;

/** Idle time whose unused rate a token bucket may use later. Compensates for late timers. */
export const BUCKET_BURST_MS = 60;

/** Largest manifest accepted. */
export const MAX_MANIFEST_BYTES = 16 * 1024 * 1024;

/** Largest chunk accepted. */
export const MAX_CHUNK_BYTES = 16 * 1024 * 1024;

export const ENGINE_POLL_MS = 500;

/** First and longest pause before a failed rollout attempt is retried. */
export const ROLLOUT_RETRY_MS = 500;
export const MAX_ROLLOUT_RETRY_MS = 5000;

/** Number of chunks sent to the engine at the same time. */
export const ENGINE_PUT_WINDOW = 4;

/** Time for which a replaced version stays loaded and slower peers can still fetch its chunks. */
export const RELEASE_AFTER_MS = 60_000;

/** Number of failed polls in a row after which an engine counts as down. */
export const ENGINE_DOWN_AFTER_POLLS = 3;

export const DEFAULT_STORE_BYTES = 4 * 1024 * 1024 * 1024;

/** `rollout.balance` if the configuration does not set it. */
export const DEFAULT_BALANCE = 0.5;
