/** Longest wait of one watch. The store cuts longer ones at 30 s; each return costs a call, and each part has a watch. */
export const MAX_WATCH_WAIT_MS = 28_000;

/** Wait of a watch that only asks whether there are changes. */
export const PROBE_WAIT_MS = 1;

/** Pause after a batch of changes, so that a quick series costs few calls. */
export const COALESCE_PAUSE_MS = 150;

/**
Pause after a change of a bulky part, as a multiple of the time that its transfer took, and its limit. While a link is slow,
intermediate values are skipped. Pause and two transfers stay within the shortest bound for configuration (2 s).
*/
export const BULKY_PAUSE_FACTOR = 1;
export const MAX_BULKY_PAUSE_MS = 500;

/** Time limit of a read of a bulky part up to its first byte, and between parts of the answer: other answers may go first. */
export const BULKY_TIMEOUT_MS = 2500;

/** Interval of the cheap look at the store's revision, which shows that a watch has gone silent. */
export const REVISION_CHECK_INTERVAL_MS = 1500;

/** Time after which a watch that has not delivered a known revision counts as silent. */
export const WATCH_DELIVERY_TIMEOUT_MS = 400;

/** Time within which a small call is answered while the path to the store is free. */
export const MAX_PROMPT_ANSWER_MS = 600;

/** Age that the answer of a cheap look may have. */
export const MAX_READ_STALENESS_MS = 2000;

/** Revisions that are remembered with their times. */
export const MAX_REVISION_TIMES = 256;

/** First and longest pause after a failed call to the store. */
export const MIN_STORE_RETRY_MS = 150;
export const MAX_STORE_RETRY_MS = 1000;

/** Interval at which a process without the store asks its peers for changes. */
export const PEER_POLL_INTERVAL_MS = 500;

/** Time limit of one question to a peer. */
export const PEER_CALL_TIMEOUT_MS = 800;

/** Time for which removed items are remembered for peers that have missed the removal. */
export const REMOVAL_RETENTION_MS = 60_000;

/**
Time for which an upstream stays usable after its entry lapsed around an outage of the store.
The platform restores entries of live upstreams within about 2 s of the store's return.
*/
export const LEASE_EXPIRY_GRACE_MS = 1900;

/** Time after the store's return during which removals may be lapsed entries. */
export const LEASE_EXPIRY_WINDOW_MS = 4000;

/** Difference of two ages of a version that the calls between peers explain. */
export const AGE_TOLERANCE_MS = 50;

/** Named versions of one model that are remembered with their times. */
export const MAX_TARGETS_PER_MODEL = 16;
