/**
Longest wait of one watch call. The store ends longer waits at 30 s. Shorter waits cost more calls, since each part has its
own watch.
*/
export const MAX_WATCH_WAIT_MS = 28_000;

/** Wait of a watch call that only asks for changes that exist already. */
export const LOOK_WAIT_MS = 1;

/** Pause after a batch of changes, so that changes in quick succession arrive in few calls. */
export const COALESCE_PAUSE_MS = 150;

/**
Pause after a change of a bulky part, as a multiple of its transfer time, and the longest pause. It skips intermediate
values while the link is slow. The pause and two transfers fit into the shortest staleness bound of the configuration (2 s).
*/
export const BULKY_PAUSE_FACTOR = 1;
export const MAX_BULKY_PAUSE_MS = 500;

/** Time limit for the first byte of a bulky part's response, and between its chunks. Other responses may be sent before it. */
export const BULKY_TIMEOUT_MS = 2500;

/** Interval of the checks that this process still hears from the store, unless another one is given. */
export const CHECK_INTERVAL_MS = 1000;

/** Shortest interval between two checks, as a fraction of the longest. */
export const MIN_INTERVAL_FRACTION = 0.8;

/**
Time limits of the attempts of one check. The first uses the kept connection, the others a new one each. Two new connections
in a row may die, too, without the store being unreachable.
*/
export const CHECK_TIMEOUTS_MS: readonly number[] = [500, 500, 1000];

/** Shortest pause before the next check while the store cannot be reached. */
export const CHECK_RETRY_MS = 300;

/** Time that a watch has to deliver a revision known from a check before it is replaced. */
export const WATCH_DELIVERY_TIMEOUT_MS = 300;

/** Time without data after which an answer that has begun to arrive is given up, if checks are answered meanwhile. */
export const STALLED_ANSWER_MS = 800;

/** Longest response time of a check while the path to the store is not congested. */
export const MAX_PROMPT_ANSWER_MS = 400;

/** Number of revisions whose times are kept. */
export const MAX_REVISION_TIMES = 256;

/** Pause after the first failed call to the store, and the longest pause after further ones. */
export const MIN_STORE_RETRY_MS = 150;
export const MAX_STORE_RETRY_MS = 1000;

/** A watch that waited this long before it was cut was accepted by the store, so the pauses start again with the shortest one. */
export const MIN_ACCEPTED_WATCH_MS = 300;

/** Mean interval at which a process that cannot reach the store asks its peers for changes. */
export const PEER_POLL_INTERVAL_MS = 500;

/** Time limit of one call to a peer. */
export const PEER_CALL_TIMEOUT_MS = 800;

/** Time for which removals are kept for peers that have missed them. */
export const REMOVAL_RETENTION_MS = 60_000;

/**
Time for which an upstream stays usable after its lease expired during or shortly after a store outage. The platform
lists live upstreams again within about 2 s after the store becomes reachable.
*/
export const LEASE_EXPIRY_GRACE_MS = 1900;

/** Time after the store becomes reachable again until which a live upstream is listed again, with a margin. */
export const LEASE_EXPIRY_WINDOW_MS = 3000;

/**
Time after an upstream left the list in which a report that it had written before may still take effect. TCP sends bytes that a
partition has held up again after pauses that double, so they arrive up to twice the length of the partition later.
*/
export const LATE_REPORT_WINDOW_MS = 15_000;

/** Number of heartbeat intervals after which an entry that no upstream keeps up has been removed, with a margin. The platform waits for three. */
export const UNKEPT_HEARTBEATS = 4;

/** Time after the store went back to a copy in which its writers write their items again. */
export const REWRITE_GRACE_MS = 4500;

/** Longest time since an outage of the store with which a process counts as a witness that no version could be learned of before. */
export const MAX_WITNESS_DELAY_MS = 1500;

/** Difference between two ages of a version that the duration of calls between peers can explain. */
export const AGE_TOLERANCE_MS = 50;

/** Number of target versions per model that are kept with their times. */
export const MAX_TARGETS_PER_MODEL = 16;
