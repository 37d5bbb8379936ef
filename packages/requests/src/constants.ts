/** Largest total size of a caller's headers, in bytes. */
export const MAX_HEADER_BYTES = 8 * 1024;

/** Largest body that an agent accepts, in bytes. Routes set lower limits at the entry. */
export const MAX_FORWARDED_BODY_BYTES = 16 * 1024 * 1024;

/** Time that a caller may take to send its headers, in milliseconds. */
export const HEADERS_TIMEOUT_MS = 10_000;

/** Time that a caller may take to send a whole request, in milliseconds. */
export const BODY_TIMEOUT_MS = 30_000;

/** Time to establish a connection to an agent or an upstream, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Idle time after which a pooled connection is closed, in milliseconds. Less than the 60 s of peer servers, so that the client closes first. */
export const KEEP_ALIVE_MS = 30_000;

/** Time without progress of a response after which an entry queries the agent, and an agent inspects its upstream, in milliseconds. */
export const NO_PROGRESS_TIMEOUT_MS = 1500;

/** Interval between two such checks while there is still no progress, in milliseconds. */
export const MAX_QUERY_INTERVAL_MS = 2500;

/** Timeout of a query to an agent about a request, or to an engine about its state, in milliseconds. */
export const QUERY_TIMEOUT_MS = 1000;

/** Time that data which the agent reports as sent has to arrive before it counts as lost, in milliseconds. */
export const ARRIVAL_GRACE_MS = 300;

/** Time after its deadline for which an agent keeps a non-repeatable request running, in milliseconds. */
export const NON_REPEATABLE_GRACE_MS = 60_000;

/** Interval of the checks for expired deadlines and connections without progress, in milliseconds. */
export const SCAN_INTERVAL_MS = 100;

/** Longest time that one query for an answer waits for a running request, in milliseconds. */
export const ANSWER_WAIT_MS = 1000;

/** Retries as a share of new requests. */
export const RETRY_SHARE = 0.1;

/** Retries that an entry may make before its first request, and the most that it can accumulate. */
export const INITIAL_RETRY_BALANCE = 10;
export const MAX_RETRY_BALANCE = 100;

/** Limit on the calls that wait for a model or service at an entry: a multiple of the capacity of its agents, but at least a minimum. */
export const MIN_QUEUE_LIMIT = 16;
export const QUEUE_LIMIT_PER_CAPACITY = 2;

/** Forwarding attempts for one request, the first included. */
export const MAX_ATTEMPTS = 4;

/** Time for which an entry avoids an agent after a failed connection, an unverified response or a death, in milliseconds. */
export const AVOID_FAILED_MS = 1000;

/** Time for which an entry avoids an agent after a rejection with this reason, in milliseconds. Reasons caused by the request itself are not listed. */
export const AVOID_MS_BY_REASON: ReadonlyMap<string, number> = new Map([['leaving', 5000], ['upstream-down', 1000], ['wrong-incarnation', 1000]]);

/** Time for which an agent that rejected a call as full counts as full, unless it reports its load earlier, in milliseconds. Retries of such calls wait as long. */
export const AVOID_FULL_MS = 100;

/** Time over which the weight of a reported load falls linearly to 0, in milliseconds. */
export const LOAD_REPORT_LIFETIME_MS = 1000;

/** How much more loaded than a random agent the agent preferred for a prompt prefix may be, as a share of capacity. */
export const AFFINITY_SLACK = 0.5;

/** Length of a prompt prefix, in characters. */
export const PREFIX_CHARACTERS = 512;

/** Time between `/healthz` turning 503 and the listener closing, in milliseconds. */
export const DRAIN_GRACE_MS = 2000;

/** Records of requests that an agent keeps. Older requests are reported as unknown. */
export const MAX_RECORDS = 50_000;

/** Largest size of the finished answers to non-repeatable requests that an agent keeps, in total and for each, in bytes. */
export const MAX_KEPT_ANSWER_BYTES = 32 * 1024 * 1024;
export const MAX_ANSWER_BYTES = 1024 * 1024;

/** Time between two connection attempts to an upstream that is down, in milliseconds. */
export const UPSTREAM_PROBE_INTERVAL_MS = 250;

/** Deaths of upstreams after which a request is rejected, and the time for which an attributed death counts, in milliseconds. */
export const QUARANTINE_DEATHS = 3;
export const QUARANTINE_MS = 10 * 60_000;

/** Largest number of fingerprints in a death report, which must fit into the headers of a response. */
export const MAX_REPORTED_FINGERPRINTS = 64;

/** Consecutive state queries without a reply after which requests without progress at an engine fail. */
export const MAX_UNANSWERED_STATE_QUERIES = 2;

/** Largest number of deaths, and of suspected fingerprints, that an entry keeps. */
export const MAX_SUSPECTS = 10_000;

/** Time after which an entry removes a claim that it wrote, in milliseconds. A call sent again after that is run again. */
export const CLAIM_RETENTION_MS = 60 * 60_000;

/** Interval at which an entry removes its old claims, in milliseconds. */
export const CLAIM_REMOVAL_INTERVAL_MS = 10_000;

/** Attempts to write a claim when other entries write the same one or responses are lost. */
export const MAX_CLAIM_WRITES = 4;

/** Value of `retry-after` for rejections caused by load or an outage, in seconds. */
export const RETRY_AFTER_SECONDS = 1;
