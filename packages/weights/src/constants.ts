/** Chunks that a transfer requests at the same time. Held requests are cheap; a wide window evens out the load of the trees. */
export const TRANSFER_WINDOW = 24;

/** Chunks by which origin reads may run ahead of the chunks that have arrived, so that the first ones arrive early. */
export const ORIGIN_AHEAD_CHUNKS = 12;

/** Interval of the interim responses that show that a peer is alive while it holds or queues a request. */
export const HEARTBEAT_MS = 800;

/** Longest time that a peer holds a request for a chunk that it does not have yet. */
export const MAX_HELD_WAIT_MS = 5000;

/** Time for which a member asks its parent to hold a request. */
export const HELD_WAIT_MS = 2000;

/** Window in which a peer must send bytes or an interim response; otherwise it counts as stalled. */
export const STALL_WINDOW_MS = 2500;

/** Time for which an unreachable or stalled peer is not asked. */
export const AVOID_STALLED_MS = 5000;

/** Time for which the sender of a corrupt chunk is not asked. */
export const AVOID_CORRUPT_MS = 30_000;

/** Time for which a member is not asked for a version after it answered that it has no part in it. */
export const AVOID_ABSENT_MS = 10_000;

/** Time after which a member that has not started on a version is passed over. Covers the spread of a configuration edit. */
export const ABSENT_TIMEOUT_MS = 3000;

/** Longest wait for a parent that answers but has not got the chunk, at `balance` 0 and 1. */
export const PARENT_TIMEOUT_AT_BALANCE_0_MS = 30_000;
export const PARENT_TIMEOUT_AT_BALANCE_1_MS = 2000;

/** First and longest pause after a failed read from the origin. */
export const ORIGIN_RETRY_MS = 200;
export const MAX_ORIGIN_RETRY_MS = 5000;

/** Uploads that send at the same time. Few at a time let chunks arrive early and be passed on. */
export const UPLOAD_SLOTS = 3;

/** Time in the upload queue after which a member sends its second child to the first one. */
export const BUSY_AFTER_MS = 700;

/** Bytes written to a peer between two looks at the rate limit. */
export const UPLOAD_SLICE_BYTES = 16 * 1024;

/** Bytes hashed before the event loop gets its turn. */
export const HASH_SLICE_BYTES = 256 * 1024;

/** Idle time that a token bucket may make up for. Covers late timers. */
export const BUCKET_BURST_MS = 60;

/** Largest manifest accepted. */
export const MAX_MANIFEST_BYTES = 16 * 1024 * 1024;

/** Largest chunk accepted. */
export const MAX_CHUNK_BYTES = 16 * 1024 * 1024;

export const ENGINE_POLL_MS = 500;

/** Pause before a failed step of a rollout is tried again. */
export const RETRY_MS = 500;
export const MAX_RETRY_MS = 5000;

/** Chunks handed to the engine at the same time. */
export const ENGINE_PUT_WINDOW = 4;

/** Time for which a replaced version stays loaded and its chunks stay readable for late peers. */
export const RELEASE_AFTER_MS = 60_000;

/** Failed polls after which an engine that does not answer counts as down. */
export const ENGINE_DOWN_AFTER_POLLS = 3;

export const DEFAULT_STORE_BYTES = 4 * 1024 * 1024 * 1024;

/** `rollout.balance` when the configuration names none. */
export const DEFAULT_BALANCE = 0.5;
