/**
Decides whether a request for which no place is free waits or is rejected.

Load pattern: more requests arrive than all upstreams finish. A queue then only makes every request late, so a request
waits only as long as it can still meet its goal; the others are told when to come back.
*/
import {
	UNAVAILABLE_RETRY_AFTER_MS, DEFAULT_RETRY_AFTER_MS, MAX_LATE_WAIT_FRACTION, MIN_RETRY_AFTER_FRACTION, MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, RETRY_AFTER_FRACTION,
} from './constants.js';
import type {Admission, WaitingNeed} from './types.js';

const estimateWaitMs = ({ahead, drainPerSecond}: WaitingNeed): number | undefined =>
	drainPerSecond > 0 ? (ahead + 1) * 1000 / drainPerSecond : undefined;

/**
Pause after which a rejected caller finds a place: the predicted drain of the queue, spread over half to one and a half
of it so that callers rejected together do not return together.

@param random a number from 0 up to but not including 1
*/
export const retryAfterMs = (need: WaitingNeed, random: number): number => {
	const drainMs = Math.max(estimateWaitMs(need) ?? 0, need.isServed ? DEFAULT_RETRY_AFTER_MS : UNAVAILABLE_RETRY_AFTER_MS);
	const callerLimitMs = Math.max(MIN_RETRY_AFTER_MS, need.remainingMs * RETRY_AFTER_FRACTION);
	const maxMs = Math.min(drainMs * 1.5, callerLimitMs, MAX_RETRY_AFTER_MS);
	const minMs = Math.min(drainMs * 0.5, maxMs * MIN_RETRY_AFTER_FRACTION);
	return Math.round(minMs + ((maxMs - minMs) * random));
};

export const admitWaiting = (need: WaitingNeed, random: number): Admission => {
	const {slackMs, remainingMs} = need;
	if (remainingMs <= 0) {
		return {kind: 'reject', retryAfterMs: MIN_RETRY_AFTER_MS, reason: 'no-time-left'};
	}

	const waitMs = estimateWaitMs(need);
	if (slackMs > 0) {
		return waitMs === undefined || waitMs <= slackMs
			? {kind: 'wait', forMs: slackMs, reason: 'within-goal'}
			: {kind: 'reject', retryAfterMs: retryAfterMs(need, random), reason: 'queue-too-long'};
	}

	const lateWaitMs = remainingMs * MAX_LATE_WAIT_FRACTION;
	return waitMs !== undefined && waitMs <= lateWaitMs
		? {kind: 'wait', forMs: lateWaitMs, reason: 'late-but-likely'}
		: {kind: 'reject', retryAfterMs: retryAfterMs(need, random), reason: 'queue-too-long'};
};
