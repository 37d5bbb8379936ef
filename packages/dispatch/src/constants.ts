/** Score penalty, as a fraction of an upstream's slots, for an upstream in another failure domain than the entry. */
export const FAILURE_DOMAIN_PENALTY = 0.12;

/**
Score difference below which upstreams count as equal. Entries that decide at the same time choose among them at random,
so that they don't all choose the same upstream.
*/
export const SCORE_TOLERANCE = 0.07;

/** Age from which a load report is ignored because it says nothing about the present load. */
export const MAX_REPORT_AGE_MS = 2000;

/** Longest wait of a request that has missed its latency goal, as a fraction of its remaining time. */
export const MAX_LATE_WAIT_FRACTION = 0.25;

/** Bounds of the retry delay that is sent to a rejected caller. */
export const MIN_RETRY_AFTER_MS = 200;
export const MAX_RETRY_AFTER_MS = 4000;

/** Longest retry delay as a fraction of the request's remaining time. Callers shorten delays of more than a third of that time. */
export const RETRY_AFTER_FRACTION = 0.3;

/** Shortest estimate of the retry delay while some upstream can serve the request. */
export const DEFAULT_RETRY_AFTER_MS = 800;

/**
Shortest estimate of the retry delay while no upstream can serve the request. A version takes seconds to arrive, so a
caller that returns earlier is rejected again.
*/
export const UNAVAILABLE_RETRY_AFTER_MS = 2500;

/** Part by which the return of callers is spread after the time at which an upstream takes requests again. */
export const RETURN_SPREAD = 0.2;

/** Remaining time below which a request is not retried. */
export const MIN_TIME_FOR_RETRY_MS = 60;

/** Most times that one request is sent, including sends that certainly did not run. */
export const MAX_SENDS_PER_REQUEST = 4;

/** Consecutive failures that suspend an upstream. */
export const SUSPEND_AFTER_FAILURES = 2;

/** Duration of the first suspension. It doubles with each further suspension, up to the maximum. */
export const INITIAL_SUSPENSION_MS = 700;
export const MAX_SUSPENSION_MS = 5000;

/** Fraction of the retry budget that an entry uses. The rest covers requests that overlap the edge of a window. */
export const RETRY_BUDGET_FRACTION = 0.7;

/**
Longest time before the staleness bound from which only upstreams on the target version get requests, the shortest one, and the
part of it that depends on the usual time to the first byte: a request must start before it would be cancelled.
*/
export const VERSION_MARGIN_MS = 1300;
export const MIN_VERSION_MARGIN_MS = 700;
export const VERSION_MARGIN_START_FACTOR = 3;

/**
The margin for requests that cannot be retried. It is longer because such a request cannot be cancelled while it is
queued at an upstream.
*/
export const UNCANCELLABLE_VERSION_MARGIN_MS = 1800;

/** Time before the staleness bound at which requests without a response yet are cancelled on upstreams with an older version. */
export const CANCEL_MARGIN_MS = 400;

/**
Period before the version margin in which upstreams on the older version get requests for only a fraction of their slots.
Entries that decide on reports of the same age overfill the few upstreams that still accept requests, and requests queued
there would start after the staleness bound.
*/
export const EXPIRING_VERSION_MS = 1000;
export const EXPIRING_VERSION_SLOT_FRACTION = 0.6;

/** Fraction of the requests to a cold upstream that the known entries use. The rest is for entries that are not known and for requests that are delayed on their way and arrive together. */
export const COLD_SHARE_FRACTION = 0.8;

/** Fraction of an upstream's slots that requests may use whose latency goal has passed. */
export const LATE_SLOT_FRACTION = 0.75;

/**
Share of the time until a request misses its goal that the estimated wait for a slot may take. Requests that wait until the
last moment miss the goal as soon as their engine starts them a little later than usual.
*/
export const MAX_WAIT_SLACK_SHARE = 0.5;

/**
A caller that has less than this share of the route's timeout left is assumed to return after an earlier attempt. Callers
state a little less than the timeout also in their first attempt.
*/
export const RETURNING_CALLER_SHARE = 0.8;

/**
Time without a response after a send from which an upstream counts as unresponsive and gets no further requests: a
multiple of the usual time to the first byte, but at least the minimum.
*/
export const UNRESPONSIVE_FACTOR = 4;
export const MIN_UNRESPONSIVE_MS = 500;

/** Time for which a send counts as under way after it has ended without a response, as a multiple of the time for which it was out. */
export const ABANDONED_SEND_FACTOR = 2;

/**
Time for which a path may show nothing of what was written until it gets no more than single probes: a multiple of the usual
time to the first byte within these bounds. The usual time grows when all paths are slow, and must not explain their silence.
*/
export const PATH_SILENCE_FACTOR = 2;
export const MIN_PATH_SILENCE_MS = 250;
export const MAX_PATH_SILENCE_MS = 500;

/** Probes without an answer after which one request is sent all the same, because only what answers probes may be away. */
export const PROBES_BEFORE_REQUEST = 5;

/** Time for which a path counts as slow after it has delayed something, in milliseconds. */
export const SLOW_PATH_LIFETIME_MS = 5000;

/** Longest delay, in milliseconds, of a request on a slow path. */
export const SLOW_PATH_MS = 3500;

/** Weight of the newest send in the moving average of their sizes. */
export const USUAL_BYTES_WEIGHT = 0.2;

/** Bytes that may be under way on a path that has shown nothing yet. */
export const INITIAL_WINDOW_BYTES = 24 * 1024;

/** Multiple of the expected time to the first data after which an engine's load no longer explains its silence. */
export const SILENCE_START_FACTOR = 2;

/** Time to the first byte, as a multiple of the usual one, that load alone can explain. */
export const NORMAL_START_FACTOR = 2;

/** Upper limit of the shortest retry delay, as a fraction of the longest, so that capped delays still differ between callers. */
export const MIN_RETRY_AFTER_FRACTION = 0.5;

/** Unread prompt tokens that delay a new request as much as a full batch does. An engine reads about this many in one pass. */
export const UNREAD_TOKENS_PER_FULL_LOAD = 2048;

/**
Longest time that an engine may read prompts before it starts a request, as a share of the latency goal. The rest covers the
network and the first token.
*/
export const MAX_READING_GOAL_SHARE = 0.6;

/** Number of entries that have the same upstream in their subset. One entry could fail; with more, each knows less of the load. */
export const ENTRIES_PER_UPSTREAM = 2;

/** Smallest number of upstreams in an entry's subset. Smaller subsets load the slots of a service unevenly. */
export const MIN_SUBSET_SIZE = 6;

/** Score penalty, as a fraction of an upstream's slots, for an upstream outside the entry's subset. */
export const OUTSIDE_SUBSET_PENALTY = 0.5;

/** Period over which the longest answers of each route are kept. They are used until the end of the next one. */
export const ANSWER_TIMES_PERIOD_MS = 30_000;

/** Period over which freed slots are counted to predict waiting times. */
export const FREED_SLOTS_WINDOW_MS = 2000;

/** Held slots, as a multiple of their average, from which the count of freed slots says too little of the present. */
export const MIN_HELD_GROWTH = 2;

/** Time in milliseconds after which a number of held slots counts for 1/e of the present one in their average. */
export const USUAL_HELD_MEMORY_MS = 1000;

/**
Time after the beginning of a stop in milliseconds within which callers may send requests because the load balancer still uses this
entry. Operators allow for answers that are cut at the end if the request came within 3 s of SIGTERM, which may be handled late.
*/
export const UNREMOVED_MS = 2900;

/** Number of answers from which the longest one says how long others take. */
export const MIN_OBSERVED_ANSWERS = 8;

/** Time that a stopping entry needs for an answer, as a multiple of the longest one on the same route lately. */
export const REPEATABLE_ANSWER_FACTOR = 1.25;
export const ONCE_ANSWER_FACTOR = 2;

/** The same time as a multiple of the longest answer that the published costs of an engine allow. */
export const BOUNDED_ANSWER_FACTOR = 1.1;
