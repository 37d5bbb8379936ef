/** Time that a shutdown step may take unless it names its own limit. */
export const STEP_TIMEOUT_MS = 5000;

/** Time between two log lines while a shutdown waits for work in progress. */
export const PROGRESS_LOG_PERIOD_MS = 10_000;

/** Time for which a leaving entry still accepts requests, so that the balancer can react to /healthz. */
export const ENTRY_GRACE_MS = 2000;
