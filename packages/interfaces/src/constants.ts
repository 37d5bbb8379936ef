/** Time for an answer of the key-value service or the VM list. Both answer within milliseconds. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000;

/** Time for a connection to the platform. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Time without any byte from the origin. Its link is shared, so a chunk as a whole has no limit. */
export const DEFAULT_ORIGIN_IDLE_TIMEOUT_MS = 10_000;

/** Time for an engine command. Loading assembles the whole weights. */
export const DEFAULT_ENGINE_TIMEOUT_MS = 30_000;

/** Time that a long poll may take beyond the time its caller asked for. */
export const WATCH_MARGIN_MS = 2000;

/** Largest answer of a service of the platform. A page of the key-value service and a chunk of weights are smaller. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Bytes of a body within its idle time limit; fewer are a trickle. */
export const MIN_PROGRESS_BYTES = 1024;
