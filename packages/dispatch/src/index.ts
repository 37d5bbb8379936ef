/** Decides on queueing, rejecting, placing and retrying requests. Performs no I/O; callers pass in the time. */
export type * from './types.js';
export {chooseUpstream, estimateLoad} from './choose-upstream.js';
export {admitWaiting, retryAfterMs} from './admit-waiting.js';
export {WaitingLine, type Waiting} from './request-queue.js';
export {decideResend, isRepeatable} from './decide-retry.js';
export {ResendBudget, type ResendBudgetOptions} from './retry-budget.js';
export {
	afterFailure, afterSuccess, afterTrialStart, HEALTHY, standing, type Health,
} from './upstream-health.js';
export {nearUpstreams} from './upstream-subset.js';
export {pickBackend, RouteTable} from './match-route.js';
export {recallAt, requiredVersion} from './required-version.js';
export {CRASHES_BEFORE_REJECTION, EXPIRING_MS, VERSION_MARGIN_MS} from './constants.js';
