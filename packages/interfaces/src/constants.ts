/** Time limit of a call to the key-value service or the VM list. Both usually respond within milliseconds. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000;

/** Time limit for opening a connection to the platform. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Time without data after which a call to the origin fails. Its link is shared, so the time for a whole chunk is not limited. */
export const DEFAULT_ORIGIN_IDLE_TIMEOUT_MS = 10_000;

/** Time limit of an engine command. The longest, a load, assembles all chunks of the weights. */
export const DEFAULT_ENGINE_TIMEOUT_MS = 30_000;

/** Time that a watch (long poll) may take beyond the wait that its caller asks for. */
export const WATCH_TIMEOUT_SLACK_MS = 2000;

/** Maximum response body of a platform service. Pages of the key-value service and chunks of weights are smaller. */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** A body must deliver this many bytes within each idle time limit. A single byte would let a trickling response last forever. */
export const MIN_PROGRESS_BYTES = 1024;
