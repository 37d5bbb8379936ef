/** Load, in shares of an upstream's slots, that a place in another failure domain must save to be preferred. */
export const FAILURE_DOMAIN_PENALTY = 0.12;

/** Upstreams whose scores differ by less than this are equal; entries that decide at the same time then spread. */
export const SCORE_TOLERANCE = 0.07;

/** Age after which a report of an upstream's load says nothing about its present load. */
export const MAX_REPORT_AGE_MS = 2000;

/** Longest share of the remaining time for which a request that missed its goal waits. */
export const MAX_LATE_WAIT_FRACTION = 0.25;

/** Least and greatest pause that a rejected caller is told. */
export const MIN_RETRY_AFTER_MS = 200;
export const MAX_RETRY_AFTER_MS = 4000;

/** Callers keep a pause up to a third of the time that they have left; a longer one would be cut. */
export const RETRY_AFTER_FRACTION = 0.3;

/** Pause told when nothing is known about the drain of the queue. */
export const DEFAULT_RETRY_AFTER_MS = 800;

/** Pause told while no upstream can serve at all: a version takes seconds to arrive, and an early return is a second refusal. */
export const UNAVAILABLE_RETRY_AFTER_MS = 2500;

/** Least time left with which a request is sent once more. */
export const MIN_TIME_FOR_RETRY_MS = 60;

/** Sends of one request, counting those that provably did not run. */
export const MAX_SENDS_PER_REQUEST = 4;

/** Consecutive failures after which an upstream is suspended, and the first and longest suspension. */
export const SUSPEND_AFTER_FAILURES = 2;
export const INITIAL_SUSPENSION_MS = 700;
export const MAX_SUSPENSION_MS = 5000;

/** Share of the retry budget that entries use; the rest covers requests that overlap a window's edge. */
export const RETRY_BUDGET_FRACTION = 0.7;

/** Time before the bound on old versions after which only upstreams on the target version are used. */
export const VERSION_MARGIN_MS = 1300;

/** The same for requests that cannot be repeated: what waits at an upstream cannot be taken back from it. */
export const UNCANCELLABLE_VERSION_MARGIN_MS = 1800;

/** Time before the bound at which requests without any data are taken back from upstreams on older versions. */
export const CANCEL_MARGIN_MS = 400;

/**
Time before that margin in which upstreams on the older version are filled to a part of their slots only. Entries that
decide on reports of the same age overfill the few that still take requests, and what waits there begins after the bound.
*/
export const EXPIRING_MS = 1000;
export const EXPIRING_VERSION_SLOT_FRACTION = 0.6;

/** Deaths of upstreams after which the request that ran there each time is rejected. */
export const CRASHES_BEFORE_REJECTION = 3;

/** Silence after a send, as a multiple of the usual time and at least, after which nothing more is sent to the upstream. */
export const STUCK_START_FACTOR = 4;
export const MIN_STUCK_MS = 500;

/** Time to the first data, as a multiple of the usual one, that load alone explains. */
export const NORMAL_START_FACTOR = 2;

/** Shortest pause told, as a share of the longest one, so that a limit on the pause does not bunch the callers. */
export const MIN_RETRY_AFTER_FRACTION = 0.5;

/** Unread prompt tokens that delay a new request as much as a full batch: one pass of an engine reads about this many. */
export const UNREAD_TOKENS_PER_FULL_LOAD = 2048;

/** Entries that use the same upstream in the first place: one could fail, more would know less of its load. */
export const ENTRIES_PER_UPSTREAM = 2;

/** Upstreams that an entry uses in the first place, at least: with fewer, the places of a pool are used unevenly. */
export const MIN_SUBSET_SIZE = 6;

/** Load, in shares of an upstream's slots, that another upstream must save to be preferred to the near ones. */
export const OUTSIDE_SUBSET_PENALTY = 0.5;
