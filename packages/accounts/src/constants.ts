/** Account that all requests count towards while the configuration has no accounts. */
export const ANONYMOUS_ACCOUNT = 'anonymous';

export const ANONYMOUS_PRIORITY = 5;

/**
Prefix of pool names in demand reports, which name pools and accounts in the same field. Section names of accounts cannot contain it, so
a pool never has the name of an account.
*/
export const POOL_NAME_PREFIX = '*';

/** Time between two rounds of demand reports to the home entries. */
export const REPORT_PERIOD_MS = 1000;

/** Timeout of the call that reports demand to a home entry. */
export const REPORT_TIMEOUT_MS = 500;

/** Time for which a share is valid while few entries report. Covers more than three report periods, so a share survives two lost reports. */
export const SHARE_VALIDITY_MS = 3500;

/**
Reports of an account that its home entry receives per report period. With more reporting entries than that, it extends the validity of
shares, and entries then report less often.
*/
export const TARGET_REPORTS_PER_PERIOD = 6;

/** Largest factor by which the validity of shares is extended. It bounds the time until shares follow the demand. */
export const MAX_VALIDITY_FACTOR = 30;

/** Regular reports of an entry within the validity of a share; more than three, so a share survives two lost reports. */
export const REPORTS_PER_VALIDITY = 3.5;

/** Longest time that a request waits for the first share of its account or pool. */
export const FIRST_SHARE_WAIT_MS = 300;

/** Time without requests after which an entry stops reporting an account or a pool. */
export const ACCOUNT_IDLE_MS = 10_000;

/** Largest number of early reports per regular report period, for an account or pool whose share is used up. */
export const EARLY_REPORTS_PER_PERIOD = 4;

/** Size of an account's token bucket in seconds of its rate: the burst that is allowed after an idle time. */
export const BURST_SECONDS = 1;

/** Queue length per concurrent request of the entry's share of the capacity. */
export const QUEUE_LENGTH_FACTOR = 2;

export const MIN_QUEUE_LENGTH = 16;

/** Weight of the newest value in the moving average of service times. */
export const MOVING_AVERAGE_WEIGHT = 0.1;

/** Mean service time assumed until the first request has ended. */
export const INITIAL_SERVICE_MS = 1000;

/** Smallest retry time in a refusal; the header retry-after holds whole seconds. */
export const MIN_RETRY_AFTER_SECONDS = 1;

/** Retry time for an unknown key: a newly configured key is in force on all entries by then. */
export const UNKNOWN_ACCOUNT_RETRY_AFTER_SECONDS = 8;

/** Retry time for requests that a leaving entry refuses: the balancer routes them to another entry by then. */
export const LEAVING_RETRY_AFTER_SECONDS = 1;

/** Largest number of bearer keys whose account is cached, which avoids hashing a key on each request. */
export const MAX_CACHED_KEYS = 10_000;

/** Shortest period over which the request rate is computed. */
export const MIN_DEMAND_PERIOD_MS = 250;

/** Time constant of the moving average of running requests, which shows whether an account has used its part of the capacity. */
export const MEAN_USE_TIME_CONSTANT_MS = 5000;

/**
Fraction of its entitled capacity below which an account is protected from shedding. An account whose requests always wait uses more
than this fraction.
*/
export const PROTECTED_USE_FRACTION = 0.98;

/** Largest number of pools with a queue of their own. */
export const MAX_POOLS = 256;

/**
Requests admitted per request that the upstreams can run at the same time. The surplus waits in the queues of the agents, which hold a
quarter of their capacity: a factor of 1.25 fills them, and agents then refuse requests of small accounts. A factor of 1 leaves engines
idle between two requests.
*/
export const CAPACITY_FACTOR = 1.1;
