/** Retry budgets of this entry, one for each service. */
import {RetryBudget, type RetryBudgetOptions} from '@yuccawood/dispatch';

export class RetryBudgets {
	readonly #options: RetryBudgetOptions;
	readonly #byService = new Map<string, RetryBudget>();

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	of(service: string): RetryBudget {
		let budget = this.#byService.get(service);
		if (!budget) {
			budget = new RetryBudget(this.#options);
			this.#byService.set(service, budget);
		}

		return budget;
	}
}
