/**
Decides whether a request without a free slot is queued or rejected.

While requests arrive faster than the upstreams finish them, an unbounded queue makes every request late, and a queue that is
as long as the goal allows makes late all those whose engine starts them later than usual. So a request is queued only while
it can meet its latency goal with time to spare. Other requests are rejected with a retry delay, except those that
have missed their goal already and are likely to get a slot soon.
*/
import {
	DEFAULT_RETRY_AFTER_MS, MAX_LATE_WAIT_FRACTION, MAX_RETRY_AFTER_MS, MAX_WAIT_SLACK_SHARE, MIN_RETRY_AFTER_FRACTION, MIN_RETRY_AFTER_MS, RETRY_AFTER_FRACTION,
	RETURN_SPREAD, UNAVAILABLE_RETRY_AFTER_MS,
} from './constants.js';
import type {Admission, UnplacedRequest} from './types.js';

const estimateWaitMs = ({ahead, freedSlotsPerSecond}: UnplacedRequest): number | undefined =>
	freedSlotsPerSecond > 0 ? (ahead + 1) * 1000 / freedSlotsPerSecond : undefined;

/**
Returns the delay after which a rejected caller should retry, in milliseconds: the time until an upstream takes requests
again, a little spread, if all refuse them until then; otherwise the estimated wait for a slot times a
random factor of 0.5 to 1.5, within limits. The factor keeps callers that were rejected together from returning together.
A caller that returns too late for its goal returns late enough to be recognized, so that it does not take the slot of a
caller that can still be answered in time.

@param random a number from 0 up to but not including 1
*/
export const retryAfterMs = (request: UnplacedRequest, random: number): number => {
	if (request.availableInMs !== undefined) {
		return Math.round(request.availableInMs * (1 + (RETURN_SPREAD * random)));
	}

	const drainMs = Math.max(estimateWaitMs(request) ?? 0, request.isServable ? DEFAULT_RETRY_AFTER_MS : UNAVAILABLE_RETRY_AFTER_MS);
	const callerLimitMs = Math.max(MIN_RETRY_AFTER_MS, request.remainingMs * RETRY_AFTER_FRACTION);
	const maxMs = Math.min(Math.max(drainMs * 1.5, request.msUntilReturnIsRecognized + (drainMs * 0.5)), callerLimitMs, MAX_RETRY_AFTER_MS);
	const minMs = Math.max(Math.min(drainMs * 0.5, maxMs * MIN_RETRY_AFTER_FRACTION), Math.min(request.msUntilReturnIsRecognized, maxMs));
	return Math.round(minMs + ((maxMs - minMs) * random));
};

/** @param random a number from 0 up to but not including 1 */
export const admitWaiting = (request: UnplacedRequest, random: number): Admission => {
	const {slackMs, remainingMs} = request;
	if (remainingMs <= 0) {
		return {kind: 'reject', retryAfterMs: MIN_RETRY_AFTER_MS, reason: 'no-time-left'};
	}

	const {availableInMs} = request;
	if (availableInMs !== undefined) {
		return availableInMs < slackMs
			? {kind: 'wait', forMs: slackMs, reason: 'within-goal'}
			: {kind: 'reject', retryAfterMs: retryAfterMs(request, random), reason: 'refusing'};
	}

	const waitMs = estimateWaitMs(request);
	if (slackMs > 0) {
		return waitMs === undefined || waitMs <= slackMs * MAX_WAIT_SLACK_SHARE
			? {kind: 'wait', forMs: slackMs, reason: 'within-goal'}
			: {kind: 'reject', retryAfterMs: retryAfterMs(request, random), reason: 'queue-too-long'};
	}

	const lateWaitMs = remainingMs * MAX_LATE_WAIT_FRACTION;
	return waitMs !== undefined && waitMs <= lateWaitMs
		? {kind: 'wait', forMs: lateWaitMs, reason: 'late-but-likely'}
		: {kind: 'reject', retryAfterMs: retryAfterMs(request, random), reason: 'queue-too-long'};
};
