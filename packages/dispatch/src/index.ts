/** Decides on queueing, rejecting, placing and retrying requests. Performs no I/O; callers pass in the time. */
export type * from './types.js';
export {chooseUpstream, estimateLoad} from './choose-upstream.js';
export {admitWaiting, retryAfterMs} from './admit-waiting.js';
export {RequestQueue as WaitingLine, type QueuedRequest as Waiting} from './request-queue.js';
export {decideRetry as decideResend, isRetryable as isRepeatable} from './decide-retry.js';
export {RetryBudget as ResendBudget, type RetryBudgetOptions as ResendBudgetOptions} from './retry-budget.js';
export {
	afterFailure, afterSuccess, afterTrialStart, HEALTHY, healthStatus as standing, type UpstreamHealth as Health,
} from './upstream-health.js';
export {upstreamSubset as nearUpstreams} from './upstream-subset.js';
export {pickBackend, RouteTable} from './match-route.js';
export {cancelAt as recallAt, requiredVersion} from './required-version.js';
export {CRASHES_BEFORE_REJECTION, EXPIRING_VERSION_MS as EXPIRING_MS, VERSION_MARGIN_MS} from './constants.js';
