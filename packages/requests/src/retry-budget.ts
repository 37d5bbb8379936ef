/** Allows retries as a share of recent requests, so that retries cannot multiply an overload. */
import {MAX_SAVED_RETRIES, MIN_RETRIES, RETRY_SHARE} from './constants.js';

export class RetryBudget {
	#saved: number = MIN_RETRIES;

	/** Counts a request that was not a retry. */
	deposit(): void {
		this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + RETRY_SHARE);
	}

	/** @returns whether a retry is allowed, and counts it. */
	withdraw(): boolean {
		if (this.#saved < 1) {
			return false;
		}

		this.#saved--;
		return true;
	}
}
