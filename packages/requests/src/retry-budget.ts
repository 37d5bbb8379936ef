/** Allows retries as a share of recent requests, so that retries cannot multiply an overload. */
import {MAX_RETRY_BALANCE, INITIAL_RETRY_BALANCE, RETRY_SHARE} from './constants.js';

export class RetryBudget {
	#balance: number = INITIAL_RETRY_BALANCE;

	/** Counts a request that was not a retry. */
	deposit(): void {
		this.#balance = Math.min(MAX_RETRY_BALANCE, this.#balance + RETRY_SHARE);
	}

	/** @returns whether a retry is allowed, and counts it. */
	withdraw(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance--;
		return true;
	}
}
