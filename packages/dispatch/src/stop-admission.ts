/**
Decides whether a stopping entry can still answer a request in the time that it has left.

A request that is passed on too late is cut, and its caller can't know whether it ran. One that is refused at once costs its
caller a short delay at another entry.
*/
import {MIN_OBSERVED_ANSWERS, ONCE_ANSWER_FACTOR, REPEATABLE_ANSWER_FACTOR} from './constants.js';
import type {ObservedAnswers} from './answer-times.js';

export type LateRequest = {
	/** Monotonic times in milliseconds: now, when the entry's last answers must have ended, and when the caller stops waiting. */
	readonly now: number;
	readonly answerBy: number;
	readonly deadlineAt: number;

	/** Whether the request may run again elsewhere if it is cut. */
	readonly isRepeatable: boolean;

	/** Answers to requests on the same route. */
	readonly observed: ObservedAnswers;
};

/** Time in milliseconds after which the answer has very likely ended. */
const longestAnswerMs = ({now, deadlineAt, isRepeatable, observed: {count, longestMs}}: LateRequest): number => {
	const untilDeadlineMs = deadlineAt - now;
	return count < MIN_OBSERVED_ANSWERS
		? untilDeadlineMs
		: Math.min(untilDeadlineMs, longestMs * (isRepeatable ? REPEATABLE_ANSWER_FACTOR : ONCE_ANSWER_FACTOR));
};

export const isAnswerable = (request: LateRequest): boolean => {
	const leftMs = request.answerBy - request.now;
	return leftMs > 0 && longestAnswerMs(request) <= leftMs;
};
