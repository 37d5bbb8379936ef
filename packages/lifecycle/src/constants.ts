/** Time limit of a shutdown step that sets none of its own. */
export const STEP_TIMEOUT_MS = 5000;

/** Time between two log lines about a shutdown step that runs without a limit. */
export const PROGRESS_LOG_PERIOD_MS = 10_000;

/** Time for which a leaving entry still accepts requests, until the balancer has reacted to /healthz and routes them elsewhere. */
export const ENTRY_GRACE_MS = 2000;
