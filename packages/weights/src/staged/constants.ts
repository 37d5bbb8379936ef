/** Interval at which the state of the engine is read. */
export const ENGINE_STATE_POLL_MS = 100;

/** Pause before a failed step of a rollout is retried. */
export const STEP_RETRY_MS = 250;

/**
Minimum time between the report to the entries that an engine switches and the order to load: until the report reaches
them, entries send requests that would have to wait for the load.
*/
export const SWITCH_NOTICE_MS = 60;

/** Maximum age of the verification of the staged pieces when the order to load them is sent. */
export const MAX_VERIFICATION_AGE_MS = 1500;

/** Number of groups of engines that switch to a new version one group after the other. */
export const SWITCH_WAVE_COUNT = 3;

/** Earliest switch of the first and of the last group after the version was set, as shares of the staleness bound. */
export const FIRST_WAVE_DELAY_SHARE = 0.62;
export const LAST_WAVE_DELAY_SHARE = 0.85;

/** Time after which an accepted order that had no effect is given up and sent again. */
export const LOAD_TIMEOUT_MS = 20_000;

/**
Maximum share of the line rate that a transfer uses: for an engine that serves requests, which leaves the live requests
enough bandwidth to stay on time, and for an engine that serves none yet.
*/
export const MAX_SERVING_TRANSFER_SHARE = 0.68;
export const MAX_IDLE_TRANSFER_SHARE = 0.9;

/** Minimum share of the line rate that a transfer uses. */
export const MIN_TRANSFER_SHARE = 0.35;

/** Maximum share of the line rate that uploads to peers use while the engine serves requests. */
export const MAX_UPLOAD_SHARE = 0.72;

/** Number of members that read the digests of a version from the origin at once; all others ask these members first. */
export const ORIGIN_DIGEST_READER_COUNT = 8;

/** Time for which the other members ask only peers for the digests, before they ask the origin too. */
export const ORIGIN_DIGEST_DELAY_MS = 600;

/** Pause between two attempts to get the digests from peers during that time. */
export const PEER_DIGEST_RETRY_MS = 80;

/** Number of members, of those that read the digests from the origin, that one attempt asks. */
export const PREFERRED_DIGEST_PEER_COUNT = 2;

/** Time between the planned end of a transfer and the switch of the first group. */
export const TRANSFER_DUE_MARGIN_MS = 300;

/**
Share of the line rate at which pieces are expected to arrive while all members fetch: all of them share the uplinks of
the relays and the links between regions.
*/
export const EXPECTED_TRANSFER_SHARE = 0.45;

/** Expected time from the arrival of the last piece to the first request that the new version serves. */
export const EXPECTED_SWITCH_MS = 600;

/** An older version is nearly complete when its missing bytes are at most this share of those of the newer version. */
export const NEARLY_COMPLETE_SHARE = 0.25;

/** Interval at which the order of an older and a newer transfer is decided again. */
export const TRANSFER_ORDER_MS = 250;

/** Number of concurrent fetches of pieces that this member does not relay. */
export const PEER_FETCH_CONCURRENCY = 10;

/** Interval at which an unfinished transfer is logged. */
export const TRANSFER_LOG_MS = 2000;

/** Number of sources with the most open requests that one log line of a transfer lists. */
export const MAX_LOGGED_SOURCES = 4;

/** Time without fetches that a transfer may catch up on in one burst. */
export const TRANSFER_BURST_MS = 150;

/**
Balance between few bytes from the origin (0) and a short transfer (1). The staleness bound leaves no time to wait for a
slow peer.
*/
export const TRANSFER_BALANCE = 1;

/**
Maximum number of running streams that are interrupted when an engine switches; other engines continue them. More would
let a rollout of the whole fleet exceed the retry budget.
*/
export const MAX_INTERRUPTED_STREAMS = 3;

/** Maximum wait for the number of running streams to fall to `MAX_INTERRUPTED_STREAMS`. */
export const DRAIN_TIMEOUT_MS = 2000;

/** Number of concurrent fetches of pieces that this member relays: few, so that the origin answers each within its time limit. */
export const RELAY_FETCH_CONCURRENCY = 8;

/** Interval at which the fetch plan is read again, and the pause when there is nothing to fetch. */
export const PLAN_REFRESH_MS = 50;

/** Maximum pause after a failed read from the origin: the staleness bound also runs while the origin is down. */
export const MAX_ORIGIN_RETRY_MS = 400;

/**
Time for which a member that does not fetch a version is asked for its chunks. Members learn of a version within some hundred
milliseconds; one that has restarted may only know a newer one.
*/
export const STAGED_ABSENT_TIMEOUT_MS = 400;

/** Number of versions before the newest one whose digests are kept for peers. */
export const KEPT_DIGEST_VERSIONS = 3;
