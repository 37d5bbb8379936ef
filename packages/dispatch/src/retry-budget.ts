/** Limits this entry's retries to one service in a sliding time window. */
import {RETRY_BUDGET_FRACTION} from './constants.js';
import {RecentTimes} from './recent-times.js';

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
	readonly #requests: RecentTimes;
	readonly #retries: RecentTimes;

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
		this.#requests = new RecentTimes(options);
		this.#retries = new RecentTimes(options);
	}

	/** Counts a request. @param now its monotonic arrival time in milliseconds */
	countRequest(now: number): void {
		this.#requests.record(now);
	}

	/** Whether the budget allows another retry. */
	allowsRetry(now: number): boolean {
		const {ratio, slack, entries} = this.#options;
		const allowed = ((ratio * this.#requests.countAt(now)) + (slack / Math.max(1, entries()))) * RETRY_BUDGET_FRACTION;
		return this.#retries.countAt(now) + 1 <= allowed;
	}

	/** Counts a retry. @param now its monotonic time in milliseconds */
	countRetry(now: number): void {
		this.#retries.record(now);
	}
}
