/** Time to connect to an upstream in the same network. */
export const CONNECT_TIMEOUT_MS = 300;

/** Idle time after which the kernel probes a connection. */
export const KEEP_ALIVE_PROBE_MS = 1000;

/** Idle time after which a connection to an upstream is closed, unless the upstream announces a shorter one. */
export const UPSTREAM_IDLE_MS = 8000;

/** Share of an upstream's connections that all entries together use. */
export const CONNECTION_SHARE = 0.8;

/** Least connections to an upstream for one entry. */
export const MIN_CONNECTIONS = 4;

/** Largest answer that is held back until it is complete, so that a truncated one can be repeated. */
export const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/** Time that a silent upstream gets before a stream is continued elsewhere, as a multiple of the goal, and at least. */
export const NO_DATA_TIMEOUT_GOALS = 3;
export const MIN_NO_DATA_TIMEOUT_MS = 1000;

/** Time after which the request of a route that may be repeated is sent to another upstream, as a multiple of the goal, and at least. */
export const ANSWER_TIMEOUT_GOALS = 3;
export const MIN_ANSWER_TIMEOUT_MS = 600;

/** Interval in which freed places are counted to predict waiting times. */
export const FREED_SLOTS_WINDOW_MS = 2000;

/** Time from a send to the first byte that is expected before any was observed. */
export const DEFAULT_TIME_TO_FIRST_DATA_MS = 150;

/** Weight of the newest observation in a moving average. */
export const SERVICE_AVERAGE_WEIGHT = 0.1;

/** Pause told to callers while this entry cannot serve at all. */
export const UNAVAILABLE_RETRY_MS = 700;

/** Time limit assumed for callers that state none. */
export const DEFAULT_DEADLINE_MS = 30_000;

/** Interval at which the server looks for callers that are too slow. */
export const CONNECTION_CHECK_MS = 500;

/** Largest request head that the server reads before the configuration is known. */
export const DEFAULT_HEADER_BYTES = 16 * 1024;

/** Breaks of connections to one upstream within this time belong to one death. */
export const CRASH_WINDOW_MS = 150;

/** A caller with less than this share of the route's time left has spent its goal on an earlier attempt. */
export const CALLER_RETRY_SHARE = 0.8;

/** Weight of the newest time to first data of one upstream; it forgets faster than the average of the service. */
export const UPSTREAM_AVERAGE_WEIGHT = 0.3;

/** Time without an observation after which an upstream counts as usual again. */
export const UPSTREAM_AVERAGE_LIFETIME_MS = 1500;

/** Entries that are assumed to share limits while this entry does not know the others, as after a restart without the store. */
export const DEFAULT_ENTRY_COUNT = 8;

/** Bytes of an upstream before the body of an answer: its head, and the informational answers before it. */
export const MAX_HEAD_BYTES = 64 * 1024;
export const MAX_INFORMATIONAL_ANSWERS = 16;

/** Time in which a head that has begun must be complete, and in which bytes of a body must bring some of it. */
export const MAX_HEAD_MS = 1000;

/** Bytes of a chunked body beside its data. A chunk of one byte takes five more. */
export const MAX_FRAMING_BYTES = 64 * 1024;
export const FRAMING_BYTES_PER_BODY_BYTE = 8;

/** End of a chunk and size of the next, which may arrive long before its data. */
export const MAX_CHUNK_LINE_BYTES = 32;

/** Bytes of a stream in which an event must end that the caller did not have. A repeated beginning fits into them. */
export const MAX_BYTES_WITHOUT_EVENT = 256 * 1024;

/** Largest answer that states no length. */
export const MAX_UNSIZED_ANSWER_BYTES = 64 * 1024 * 1024;

/** Interval at which a send without data looks whether the version of its upstream is about to expire. */
export const MAX_CANCEL_CHECK_MS = 250;

/** What is read of the body of a refusal, so that its connection can be kept. */
export const MAX_REFUSAL_BYTES = 16 * 1024;
export const MAX_REFUSAL_MS = 500;
