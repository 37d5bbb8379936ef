/** Decides on queueing, rejecting, placing and retrying requests. Performs no I/O; callers pass in the time. */
export type * from './types.js';
export {chooseUpstream, estimateLoad} from './choose-upstream.js';
export {admitWaiting, retryAfterMs} from './admit-waiting.js';
export {RequestQueue, type QueuedRequest} from './request-queue.js';
export {decideRetry, isRetryable} from './decide-retry.js';
export {RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
export {
	afterFailure, afterSuccess, afterTrialStart, HEALTHY, healthStatus, type UpstreamHealth,
} from './upstream-health.js';
export {upstreamSubset} from './upstream-subset.js';
export {pickBackend, RouteTable} from './match-route.js';
export {cancelAt, requiredVersion} from './required-version.js';
export {CRASHES_BEFORE_REJECTION, EXPIRING_VERSION_MS, VERSION_MARGIN_MS} from './constants.js';
