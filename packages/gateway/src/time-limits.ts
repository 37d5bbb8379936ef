import type {Clock} from '@yuccawood/common';
import type {AcceptedRequest} from './accepted-request.js';

export type TimeLimitsOptions = Pick<AcceptedRequest, 'deadlineAt' | 'endsAt'> & {
	readonly clock: Pick<Clock, 'monotonic'>;

	/** Whether no upstream works on the request. Such a request ends at its deadline, an answer in progress later. */
	readonly isWaiting: () => boolean;
	readonly onEnd: () => void;
};

/** Ends a request at its time limits. @returns a function that stops the timers */
export const startTimeLimits = ({deadlineAt, endsAt, clock, isWaiting, onEnd}: TimeLimitsOptions): () => void => {
	const now = clock.monotonic();
	const timers = [
		setTimeout(() => {
			if (isWaiting()) {
				onEnd();
			}
		}, Math.max(0, deadlineAt - now)),
		setTimeout(onEnd, Math.max(0, endsAt - now)),
	];
	return () => {
		for (const timer of timers) {
			clearTimeout(timer);
		}
	};
};
