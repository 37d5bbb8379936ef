/** Interval at which the engine's report is read. */
export const ENGINE_STATE_POLL_MS = 100;

/** Pause before a failed step is repeated. */
export const STEP_RETRY_MS = 250;

/** Least time between telling the entries of a switch and ordering it, so that they send nothing that would wait. */
export const SWITCH_NOTICE_MS = 60;

/** Oldest verification of the staged pieces with which an order is sent. */
export const MAX_VERIFICATION_AGE_MS = 1500;

/** Groups of engines that switch versions one after the other. */
export const SWITCH_WAVE_COUNT = 3;

/** Times of the first and the last group, as shares of the bound on old versions. */
export const FIRST_WAVE_DELAY_SHARE = 0.62;
export const LAST_WAVE_DELAY_SHARE = 0.85;

/** Time after which an accepted order that had no effect is given up. */
export const LOAD_TIMEOUT_MS = 20_000;

/**
Most of the line rate that a transfer uses: for an engine that serves, so that live requests stay on time, and for one
that serves nothing yet.
*/
export const MAX_SERVING_TRANSFER_SHARE = 0.68;
export const MAX_IDLE_TRANSFER_SHARE = 0.9;

/** Least of the line rate that a transfer uses. */
export const MIN_TRANSFER_SHARE = 0.35;

/** Most of the line rate that uploads to peers use. */
export const MAX_UPLOAD_SHARE = 0.72;

/** Members that read the digests of a version at the origin; the others ask them first. */
export const DIGEST_READERS = 8;

/** Time for which they are asked before the origin, and the pause between two questions. */
export const ORIGIN_DIGEST_DELAY_MS = 600;
export const PEER_DIGEST_RETRY_MS = 80;

/** Members that are asked for the digests of a version at a time. */
export const PREFERRED_DIGEST_PEER_COUNT = 2;

/** Time between the end of a transfer and the turn to switch. */
export const TRANSFER_DUE_MARGIN_MS = 300;

/** Share of the line rate at which pieces arrive while all members fetch: the uplinks of readers and links between regions are shared. */
export const EXPECTED_TRANSFER_SHARE = 0.45;

/** Expected time from all pieces to the first request on their version. */
export const EXPECTED_SWITCH_MS = 600;

/** Missing bytes of an older version, as a share of those of the newer one, up to which it is nearly complete. */
export const NEARLY_COMPLETE_SHARE = 0.25;

/** Interval at which the order of two transfers is decided anew. */
export const TRANSFER_ORDER_MS = 250;

/** Pieces that are requested from peers at the same time, besides those that this member passes on. */
export const PEER_FETCH_CONCURRENCY = 10;

/** Interval at which an unfinished transfer is logged, and the sources named in a line. */
export const TRANSFER_LOG_MS = 2000;
export const MAX_LOGGED_SOURCES = 4;

/** Idle time that the pace of a transfer may make up for. */
export const TRANSFER_BURST_MS = 150;

/** Trade-off between origin bytes (0) and time (1): the bound on old versions leaves no time to wait for a slow peer. */
export const TRANSFER_BALANCE = 1;

/**
Streams that are cut when an engine switches, at most; callers get the rest of them from other engines. Few enough that
the repeated sends of a whole rollout stay within the budget.
*/
export const MAX_INTERRUPTED_STREAMS = 3;

/** Longest wait for the streams of an engine that switches to become that few. */
export const DRAIN_TIMEOUT_MS = 2000;

/** Pieces that one member reads for its region at the same time: few, so that the origin answers each within its time limit. */
export const RELAY_FETCH_CONCURRENCY = 8;

/** Pause before the plan is asked again when it has nothing to fetch now. */
export const PLAN_REFRESH_MS = 50;

/** Longest pause after a failed read from the origin: the bound on old versions runs on while it is away. */
export const MAX_ORIGIN_RETRY_MS = 400;

/** Versions before the newest one whose digests are kept for peers. */
export const KEPT_DIGEST_VERSIONS = 3;
