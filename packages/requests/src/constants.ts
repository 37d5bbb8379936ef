/** Largest total size of a caller's headers, in bytes. */
export const MAX_HEADER_BYTES = 8 * 1024;

/** Largest body that an agent takes, in bytes. Routes set lower limits at the entry. */
export const MAX_FORWARDED_BODY_BYTES = 16 * 1024 * 1024;

/** Time that a caller may take to send its headers, in milliseconds. */
export const HEADERS_TIMEOUT_MS = 10_000;

/** Time that a caller may take to send a whole request, in milliseconds. */
export const BODY_TIMEOUT_MS = 30_000;

/** Time to establish a connection to an agent or an upstream, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Idle time after which a kept connection is closed, in milliseconds. Below the 60 s that peer servers keep it. */
export const KEEP_ALIVE_MS = 30_000;

/** Time without progress after which the entry queries the agent over a new connection, in milliseconds. */
export const NO_PROGRESS_TIMEOUT_MS = 1500;

/** Longest interval between two such queries, in milliseconds. */
export const MAX_QUERY_INTERVAL_MS = 2500;

/** Time that a query about a request may take, in milliseconds. */
export const QUERY_TIMEOUT_MS = 1000;

/** Time that data already sent by the agent may need to arrive after a query, in milliseconds. */
export const ARRIVAL_GRACE_MS = 300;

/** Time after its deadline at which an agent gives up a non-repeatable request that its upstream has not answered, in milliseconds. */
export const NON_REPEATABLE_GRACE_MS = 60_000;

/** Interval of the scan for expired deadlines and silent connections, in milliseconds. */
export const SCAN_INTERVAL_MS = 100;

/** Time that a lookup of a finished answer waits for a running request, in milliseconds. */
export const ANSWER_WAIT_MS = 1000;

/** Share of recent requests that may be sent again. */
export const RETRY_SHARE = 0.1;

/** Retries allowed before any request has been counted, and the upper bound on saved retries. */
export const INITIAL_RETRY_BALANCE = 10;
export const MAX_RETRY_BALANCE = 100;

/** Calls that wait for a model or service at an entry: the larger of a minimum and a multiple of what its agents run at the same time. */
export const MIN_QUEUE_LIMIT = 16;
export const QUEUE_LIMIT_PER_CAPACITY = 2;

/** Forwarding attempts for one request, the first included. */
export const MAX_ATTEMPTS = 4;

/** Time during which an entry avoids an agent whose path failed, in milliseconds. */
export const AVOID_FAILED_MS = 1000;

/** Time during which an entry avoids an agent after a rejection with this reason, in milliseconds. Reasons that are due to the request itself do not count. */
export const AVOID_MS_BY_REASON: ReadonlyMap<string, number> = new Map([['leaving', 5000], ['upstream-down', 1000], ['wrong-incarnation', 1000]]);

/** Time during which an agent that rejected a call because it is full gets no other, unless it answers one before, in milliseconds. */
export const AVOID_FULL_MS = 100;

/** Time over which a reported load loses its weight, in milliseconds. */
export const LOAD_REPORT_LIFETIME_MS = 1000;

/** Load above the random choice at which prefix affinity gives way, as a share of capacity. */
export const AFFINITY_SLACK = 0.5;

/** Characters of the prompt that identify its prefix. */
export const PREFIX_CHARACTERS = 512;

/** Time between `/healthz` turning 503 and the listener closing, in milliseconds. */
export const DRAIN_GRACE_MS = 2000;

/** Records of requests that an agent keeps; older ones are answered for as unknown. */
export const MAX_RECORDS = 50_000;

/** Bytes of finished answers to non-repeatable requests that an agent keeps, in total and for each. */
export const MAX_KEPT_ANSWER_BYTES = 32 * 1024 * 1024;
export const MAX_ANSWER_BYTES = 1024 * 1024;

/** Time between two connection attempts to an upstream that is down, in milliseconds. */
export const UPSTREAM_PROBE_INTERVAL_MS = 250;

/** Deaths after which a fingerprint is rejected, and for how long, in milliseconds. */
export const QUARANTINE_DEATHS = 3;
export const QUARANTINE_MS = 10 * 60_000;

/** Fingerprints that a death report names; its headers must fit into those of a response. */
export const MAX_REPORTED_FINGERPRINTS = 64;

/** Queries without an answer after which an engine counts as silent. */
export const MAX_UNANSWERED_STATE_QUERIES = 2;

/** Fingerprints under suspicion that an entry remembers. */
export const MAX_SUSPECTS = 10_000;

/** Time after which an entry removes a claim that it wrote, in milliseconds. A call that is sent again later runs again. */
export const CLAIM_RETENTION_MS = 60 * 60_000;

/** Interval at which an entry removes its old claims, in milliseconds. */
export const CLAIM_REMOVAL_INTERVAL_MS = 10_000;

/** Writes of one claim that are tried when claims of other entries or lost responses interfere. */
export const MAX_CLAIM_WRITES = 4;

/** Suggested wait after a rejection that is due to load or an outage, in seconds. */
export const RETRY_AFTER_SECONDS = 1;
