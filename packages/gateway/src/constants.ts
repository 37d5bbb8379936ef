/** Time limit for connecting to an upstream in the same network. */
export const CONNECT_TIMEOUT_MS = 300;

/** Idle time after which the kernel sends a TCP keep-alive probe. */
export const KEEP_ALIVE_PROBE_MS = 1000;

/** Idle time after which a connection to an upstream is closed, unless the upstream announces a shorter one. */
export const UPSTREAM_IDLE_MS = 8000;

/** Share of an upstream's connection limit that all entries together may use. */
export const CONNECTION_SHARE = 0.8;

/** Smallest number of connections that an entry may have to one upstream. */
export const MIN_CONNECTIONS = 4;

/** Largest answer that is buffered until it is complete, so that the request can be retried if the answer is truncated. */
export const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/** Time without data after which a stream is continued at another upstream: a multiple of the latency goal, and its minimum. */
export const NO_DATA_TIMEOUT_GOALS = 3;
export const MIN_NO_DATA_TIMEOUT_MS = 1000;

/** Time without a complete answer after which a retryable request that is not a stream is sent to another upstream: a multiple of the latency goal, and its minimum. */
export const ANSWER_TIMEOUT_GOALS = 3;
export const MIN_ANSWER_TIMEOUT_MS = 600;

/** Expected time from a send to the first byte of its answer before any was observed. */
export const DEFAULT_TIME_TO_FIRST_DATA_MS = 150;

/** Weight of the newest time to first data in the moving average of a service. */
export const SERVICE_AVERAGE_WEIGHT = 0.1;

/** Retry delay sent to callers while this entry cannot serve any request. */
export const UNAVAILABLE_RETRY_MS = 700;

/** Time limit for requests whose caller states none. */
export const DEFAULT_DEADLINE_MS = 30_000;

/** Interval at which the HTTP server checks for connections that exceed its timeouts. */
export const CONNECTION_CHECK_MS = 500;

/**
Time for which a connection of a caller must be idle before a stopping entry closes it. Longer than a request needs from a
caller that has just opened the connection or read an answer on it.
*/
export const STOPPING_IDLE_MS = 500;

/**
Retry delay sent to callers whose request can't be answered before this entry ends. They reach another entry, and a random
factor of 0.5 to 1.5 spreads those that are refused together.
*/
export const STOPPING_RETRY_MS = 200;

/** Limit on request heads if the configuration is not known when the server starts. */
export const DEFAULT_HEADER_BYTES = 16 * 1024;

/** Connections to one upstream that break within this time are attributed to the same crash. */
export const CRASH_WINDOW_MS = 150;

/**
Time since the first data of an answer after which its request no longer counts as a possible cause of a crash, although it
has not ended. A request may crash its upstream some time after it began to run.
*/
export const PROVEN_RUN_MS = 3000;

/** Weight of the newest time to first data in the moving average of one upstream, which adapts faster than that of the service. */
export const UPSTREAM_AVERAGE_WEIGHT = 0.3;

/** Time without an observation after which the average of an upstream is ignored, and the one of the service is used. */
export const UPSTREAM_AVERAGE_LIFETIME_MS = 1500;

/** Number of queued requests that one look at the queue passes over because their failure domains have no free slot. */
export const MAX_PASSED_OVER = 16;

/** Time in milliseconds after which what an answer says of an upstream's present pace counts for 1/e. */
export const PACE_LIFETIME_MS = 250;

/** Most upstreams that are left to waiting requests with long prompts at a time. */
export const MAX_CLAIMED = 4;

/** Number of entries assumed to share limits while this entry does not know the others, for example after a restart while the store is unreachable. */
export const DEFAULT_ENTRY_COUNT = 8;

/** Bytes of a stream within which a new event must be completed. Large enough for the events that a retried stream repeats from its start. */
export const MAX_BYTES_WITHOUT_EVENT = 256 * 1024;

/**
Bytes of a stream that count as progress although no event is complete. Fewer bytes within the time limit without data count
as silence.
*/
export const MIN_PROGRESS_BYTES = 1024;

/** Largest answer without content-length. */
export const MAX_UNSIZED_ANSWER_BYTES = 64 * 1024 * 1024;

/** Longest interval between two checks of whether requests without an answer wait at an upstream whose version is about to expire. */
export const EXPIRY_CHECK_INTERVAL_MS = 250;

/** Limits on reading the body of a refusal, which keeps the connection reusable. */
export const MAX_REFUSAL_BYTES = 16 * 1024;
export const MAX_REFUSAL_MS = 500;

/**
Longest time since a look at the callers' connections after which a request may still be sent without another one, in
milliseconds.
*/
export const MAX_LOOK_AGE_MS = 50;

/** Time between the end of a probe of a path and the next one, in milliseconds. */
export const PATH_PROBE_INTERVAL_MS = 250;

/** Share of the shortest recent time to the first data of an answer that a request must have left to be sent. */
export const MIN_START_SHARE = 0.75;

/** Time for which an observed time to first data counts for that. */
export const FASTEST_START_WINDOW_MS = 1000;

/** Longest time for which a stopping entry goes on accepting connections because more of them wait, in milliseconds. */
export const DEFAULT_STOP_LISTENING_MS = 500;

/**
Longest time after the timeout of its route for which an answer in progress goes on, in milliseconds, because the request may have
arrived later than assumed. Operators allow half a second.
*/
export const MAX_ANSWER_OVERTIME_MS = 400;
