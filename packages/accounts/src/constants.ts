/** Account of all requests while the configuration has no accounts. */
export const ANONYMOUS_ACCOUNT = 'anonymous';

export const ANONYMOUS_PRIORITY = 5;

/** Start of the names under which the entries share the capacity of the pools. Section names of accounts cannot contain it. */
export const FLEET = '*';

/** Time between two reports of demand to the home entries. */
export const REPORT_PERIOD_MS = 1000;

/** Time that a report may take. */
export const REPORT_TIMEOUT_MS = 500;

/** Time for which a share is valid while few entries report. Longer than three reports, so that two lost ones change nothing. */
export const SHARE_VALID_MS = 3500;

/** Reports of an account that its home entry takes per period before it makes shares valid for longer. */
export const REPORTS_PER_PERIOD = 6;

/** Bounds the time for which a share is valid, and so the time until shares follow the demand. */
export const MAX_VALIDITY_FACTOR = 30;

/** Reports in the time for which a share is valid. */
export const REPORTS_PER_VALIDITY = 3.5;

/** Time that a request waits for the first share of its account. */
export const FIRST_SHARE_WAIT_MS = 300;

/** Time without requests after which an entry stops reporting an account. */
export const ACCOUNT_IDLE_MS = 10_000;

/** Early reports of an account whose share is used up, for each regular one. */
export const EARLY_REPORTS_PER_PERIOD = 4;

/** Seconds of the rate that an account may use at once after a quiet time. */
export const BURST_SECONDS = 1;

/** Length of the queue for each concurrent request of the entry's capacity. */
export const QUEUE_FACTOR = 2;

export const MIN_QUEUE_LENGTH = 16;

/** Weight of the newest value in moving averages. */
export const AVERAGE_WEIGHT = 0.1;

/** Mean service time that is assumed before the first request has ended. */
export const ASSUMED_SERVICE_MS = 1000;

/** Shortest time to wait that a refusal names; the header retry-after holds whole seconds. */
export const MIN_RETRY_SECONDS = 1;

/** Time after which a new key is in force everywhere; a refused caller may try again then. */
export const UNKNOWN_ACCOUNT_RETRY_SECONDS = 8;

/** Time after which a caller that a leaving entry refused reaches another one. */
export const LEAVING_RETRY_SECONDS = 1;

/** Distinct bearer keys whose hash is kept. */
export const MAX_CACHED_KEYS = 10_000;

/** Shortest period over which a rate of attempts is computed. */
export const MIN_DEMAND_PERIOD_MS = 250;

/** Time constant of the mean use that decides whether an account has had its part of the capacity. */
export const USE_AVERAGE_MS = 5000;

/** Part of its entitlement below which an account's requests are not shed. An account that waits all the time comes closer to it than that. */
export const SPARED_USE = 0.98;

/** Pools with a queue of their own. */
export const MAX_POOLS = 256;

/**
Requests admitted for each one that the upstreams run at the same time. Agents queue a quarter of their capacity: admitting as much made
them refuse requests of small accounts, and admitting none beyond the capacity left engines idle between two requests.
*/
export const CAPACITY_FACTOR = 1.1;
