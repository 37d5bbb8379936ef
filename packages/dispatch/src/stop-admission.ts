/**
Decides whether a stopping entry can still answer a request in the time that it has left.

A request that is passed on too late is cut, and its caller can't know whether it ran. One that is refused at once costs its
caller a short delay at another entry. Where the published costs of an engine bound the answer, that bound counts: the longest
answers are rare, and how long others took lately does not show them. Elsewhere only the deadline is certain.

Without such costs, how long others took counts where little is lost if it is too short: for answers that are no streams, as they
are replaced by a failure as long as they have not begun, and for the requests of the first seconds, which callers send before the
load balancer has removed this entry.
*/
import {
	BOUNDED_ANSWER_FACTOR, MIN_OBSERVED_ANSWERS, ONCE_ANSWER_FACTOR, REPEATABLE_ANSWER_FACTOR, UNREMOVED_MS,
} from './constants.js';
import type {ObservedAnswers} from './answer-times.js';

export type LateRequest = {
	/** Monotonic times in milliseconds: now, when the entry's last answers must have ended, and when the caller stops waiting. */
	readonly now: number;
	readonly answerBy: number;
	readonly deadlineAt: number;

	/** Whether the request may run again elsewhere if it is cut. */
	readonly isRepeatable: boolean;

	/** Whether the answer is a stream, which can only be cut once it has begun. */
	readonly isStream: boolean;

	/** Longest time that the published costs of its engine allow for the answer, in milliseconds; absent if nothing bounds it but the deadline. */
	readonly boundMs?: number;

	/** Time from the beginning of the stop until the request arrived, in milliseconds; negative if it arrived before. */
	readonly arrivedAfterMs: number;

	/** Answers to requests on the same route. */
	readonly observed: ObservedAnswers;
};

/** Time in milliseconds after which the answer has very likely ended. */
const expectedEndMs = ({now, deadlineAt, isRepeatable, isStream, boundMs, arrivedAfterMs, observed: {count, longestMs}}: LateRequest): number => {
	const untilDeadlineMs = deadlineAt - now;
	if (boundMs !== undefined) {
		return Math.min(untilDeadlineMs, Math.max(boundMs, longestMs) * BOUNDED_ANSWER_FACTOR);
	}

	return count < MIN_OBSERVED_ANSWERS || (isStream && arrivedAfterMs > UNREMOVED_MS)
		? untilDeadlineMs
		: Math.min(untilDeadlineMs, longestMs * (isRepeatable ? REPEATABLE_ANSWER_FACTOR : ONCE_ANSWER_FACTOR));
};

export const isAnswerable = (request: LateRequest): boolean => {
	const leftMs = request.answerBy - request.now;
	return leftMs > 0 && expectedEndMs(request) <= leftMs;
};
