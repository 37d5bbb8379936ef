/** Limits retries to a share of the recent requests, so that they cannot amplify an overload. */
import {MAX_RETRY_BALANCE, INITIAL_RETRY_BALANCE, RETRY_SHARE} from './constants.js';

export class RetryBudget {
	/** Retries that are allowed now. */
	#balance: number = INITIAL_RETRY_BALANCE;

	/** Adds the share of a new request. Retries add nothing. */
	deposit(): void {
		this.#balance = Math.min(MAX_RETRY_BALANCE, this.#balance + RETRY_SHARE);
	}

	/** Takes one retry from the balance. @returns whether there was one. */
	withdraw(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance--;
		return true;
	}
}
