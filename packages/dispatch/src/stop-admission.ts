/**
Decides whether a stopping entry can still answer a request in the time that it has left.

A request that is passed on too late is cut, and its caller can't know whether it ran. One that is refused at once costs its
caller a short delay at another entry.

An answer that is passed on as it arrives can only be cut once it has begun, and nothing but its deadline bounds it: a worker may
preempt it, turn slow or load other weights in its middle, whatever its published costs and other answers say. So the deadline counts
for all streams, and for all requests on routes with answers too large to be kept, except for those of the first seconds.

Elsewhere little is lost by a limit that is too short: other answers are replaced by a failure as long as they have not begun, and
operators allow for cuts of what was sent in the first seconds, when the load balancer still uses this entry. There the published
costs of an engine count, and without them how long others took.
*/
import {
	BOUNDED_ANSWER_FACTOR, MIN_OBSERVED_ANSWERS, ONCE_ANSWER_FACTOR, REPEATABLE_ANSWER_FACTOR, UNREMOVED_MS,
} from './constants.js';
import type {ObservedAnswers} from './answer-times.js';

export type LateRequest = {
	/** Monotonic times in milliseconds: now, when the entry's last answers must have ended, and when the caller stops waiting at the latest. */
	readonly now: number;
	readonly answerBy: number;
	readonly lastDeadlineAt: number;

	/** Whether the request may run again elsewhere if it is cut. */
	readonly isRepeatable: boolean;

	/** Whether the answer is a stream, which can only be cut once it has begun. */
	readonly isStream: boolean;

	/** Longest time that the published costs of its engine allow for the answer, in milliseconds; absent if nothing bounds it but the deadline. */
	readonly boundMs?: number;

	/** Longest time from the beginning of the stop until the caller had sent the request, in milliseconds; negative if it was read before. */
	readonly sentAfterMs: number;

	/** Answers to requests on the same route. */
	readonly observed: ObservedAnswers;
};

/** Time in milliseconds after which the answer has very likely ended. */
const expectedEndMs = ({now, lastDeadlineAt, isRepeatable, isStream, boundMs, sentAfterMs, observed: {count, longestMs, hasPartial}}: LateRequest): number => {
	const untilDeadlineMs = lastDeadlineAt - now;
	if ((isStream || hasPartial) && sentAfterMs > UNREMOVED_MS) {
		return untilDeadlineMs;
	}

	if (boundMs !== undefined) {
		return Math.min(untilDeadlineMs, Math.max(boundMs, longestMs) * BOUNDED_ANSWER_FACTOR);
	}

	return count < MIN_OBSERVED_ANSWERS
		? untilDeadlineMs
		: Math.min(untilDeadlineMs, longestMs * (isRepeatable ? REPEATABLE_ANSWER_FACTOR : ONCE_ANSWER_FACTOR));
};

export const isAnswerable = (request: LateRequest): boolean => {
	const leftMs = request.answerBy - request.now;
	return leftMs > 0 && expectedEndMs(request) <= leftMs;
};
