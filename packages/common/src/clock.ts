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

/** Monotonic time of {@link SystemClock} at which this process was started, before its modules were loaded. */
export const PROCESS_START_MS = 0;

/** Clock of the operating system. Its monotonic time begins with the process. */
export class SystemClock implements Clock {
	readonly now = (): number => Date.now();
	readonly monotonic = (): number => performance.now();
	readonly sleep = async (milliseconds: number, signal?: AbortSignal): Promise<void> => delay(milliseconds, signal);
}
