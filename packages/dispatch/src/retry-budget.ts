/** Limits this entry's retries to one service in a sliding time window. */
import {RETRY_BUDGET_FRACTION} from './constants.js';

export type RetryBudgetOptions = {
	/** Length of the sliding window. */
	readonly windowMs: number;

	/** Retries allowed per request. */
	readonly ratio: number;

	/** Additional retries allowed per window, for all entries together. */
	readonly slack: number;

	/** Number of entries that share the additional retries. */
	readonly entries: () => number;
};

export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #requestTimes: number[] = [];
	readonly #retryTimes: number[] = [];

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/** Counts a request. @param now its monotonic arrival time in milliseconds */
	countRequest(now: number): void {
		this.#requestTimes.push(now);
	}

	/** Whether the budget allows another retry. */
	allowsRetry(now: number): boolean {
		const {windowMs, ratio, slack, entries} = this.#options;
		const start = now - windowMs;
		dropBefore(this.#requestTimes, start);
		dropBefore(this.#retryTimes, start);
		const allowed = ((ratio * this.#requestTimes.length) + (slack / Math.max(1, entries()))) * RETRY_BUDGET_FRACTION;
		return this.#retryTimes.length + 1 <= allowed;
	}

	/** Counts a retry. @param now its monotonic time in milliseconds */
	countRetry(now: number): void {
		this.#retryTimes.push(now);
	}
}

const dropBefore = (times: number[], start: number): void => {
	let count = 0;
	while (count < times.length && times[count] < start) {
		count++;
	}

	if (count > 0) {
		times.splice(0, count);
	}
};
