import {delay} from './tasks.js';

/** Source of time, so that a test can hold it still. */
export interface Clock {
	/** Wall-clock time in milliseconds since the epoch. */
	readonly now: () => number;

	/** Monotonic time in milliseconds, unaffected by clock adjustments. */
	readonly monotonic: () => number;

	/** Waits; resolves early when the signal aborts. */
	readonly sleep: (milliseconds: number, signal?: AbortSignal) => Promise<void>;
}

export class SystemClock implements Clock {
	readonly now = (): number => Date.now();
	readonly monotonic = (): number => performance.now();
	readonly sleep = async (milliseconds: number, signal?: AbortSignal): Promise<void> => delay(milliseconds, signal);
}
