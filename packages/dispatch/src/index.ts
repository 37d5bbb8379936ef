/** Decides on queueing, rejecting, placing and retrying requests. Performs no I/O; callers pass in the time. */
export type * from './types.js';
export {chooseUpstream, estimateLoad} from './choose-upstream.js';
export {allowedFailureDomains} from './allowed-domains.js';
export {ColdShare, coldPauseMs, type ColdLimit} from './cold-share.js';
export {admitWaiting, retryAfterMs} from './admit-waiting.js';
export {readingTokensPerMs} from './prompt-reading.js';
export {pathSilenceMs} from './path-room.js';
export {SendsUnderWay, type ProbeOutcome, type UnconfirmedSends} from './sends-under-way.js';
export {silenceLimitMs} from './silence-limit.js';
export {callerTimes, type CallerTimes} from './caller-times.js';
export {RequestQueue, type QueuedRequest} from './request-queue.js';
export {decideRetry, isRetryable} from './decide-retry.js';
export {AnswerTimes, type ObservedAnswers} from './answer-times.js';
export {longestAnswerMs} from './longest-answer.js';
export {isAnswerable, type LateRequest} from './stop-admission.js';
export {RecentTimes} from './recent-times.js';
export {SlotTurnover, type SlotUse} from './slot-turnover.js';
export {RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
export {
	afterFailure, afterSuccess, afterTrialStart, afterTrialWithoutVerdict, HEALTHY, healthStatus, type UpstreamHealth,
} from './upstream-health.js';
export {entriesSharingUpstream, upstreamSubset} from './upstream-subset.js';
export {pickBackend, RouteTable} from './match-route.js';
export {cancelAt, expiryOf, requiredVersion} from './required-version.js';
export {
	EXPIRING_VERSION_MS, MAX_READING_GOAL_SHARE, SLOW_PATH_MS, VERSION_MARGIN_MS,
} from './constants.js';
