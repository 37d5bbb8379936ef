import {delay} from './tasks.js';

/** Source of time. Tests replace it to control the time. */
export interface Clock {
	/** Wall-clock time in milliseconds since the epoch. */
	readonly now: () => number;

	/** Monotonic time in milliseconds, unaffected by clock adjustments. */
	readonly monotonic: () => number;

	/** Resolves after the time, or as soon as the signal aborts. It never rejects. */
	readonly sleep: (milliseconds: number, signal?: AbortSignal) => Promise<void>;
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
	readonly now = (): number => Date.now();
	readonly monotonic = (): number => performance.now();
	readonly sleep = async (milliseconds: number, signal?: AbortSignal): Promise<void> => delay(milliseconds, signal);
}
