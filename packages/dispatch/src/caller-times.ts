/**
Derives the latency goal and the deadline of a call from the time that its caller will still wait.

Callers that were refused come back after the retry delay. Their goal counts from their first attempt, which other entries
have seen, so it is derived from the time that they have left. Under overload they would otherwise take the slots of callers
that can still be answered in time, and most answers would be late.
*/
import {RETURNING_CALLER_SHARE} from './constants.js';

/** Monotonic times in milliseconds. */
export type CallerTimes = {
	readonly goalAt: number;
	readonly deadlineAt: number;

	/** Time from which a return of this caller is recognized as one. */
	readonly returnRecognizedAt: number;
};

export const callerTimes = ({arrivedAt, remainingMs, timeoutMs, goalMs}: {
	readonly arrivedAt: number;

	/** Time that the caller will still wait. */
	readonly remainingMs: number;

	/** Timeout and latency goal of the route. */
	readonly timeoutMs: number;
	readonly goalMs: number;
}): CallerTimes => {
	const recognizedInMs = remainingMs - (timeoutMs * RETURNING_CALLER_SHARE);
	return {
		goalAt: arrivedAt + (recognizedInMs < 0 ? 0 : goalMs),
		deadlineAt: arrivedAt + Math.min(remainingMs, timeoutMs),
		returnRecognizedAt: arrivedAt + Math.max(0, recognizedInMs),
	};
};
