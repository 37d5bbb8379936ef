/** Exchanges that have no final answer yet, and how they end when the entry stops. */
import type {Exchange} from './exchange.js';
import {StopLimit, type StopLimitOptions, type StopTimes} from './stop-limit.js';

export class RunningExchanges {
	readonly stopLimit: StopLimit;
	readonly #exchanges = new Set<Exchange>();

	constructor(options: StopLimitOptions) {
		this.stopLimit = new StopLimit(options);
	}

	async run(exchange: Exchange): Promise<void> {
		this.#exchanges.add(exchange);
		try {
			await exchange.run();
		} finally {
			this.#exchanges.delete(exchange);
		}
	}

	/** From now on, requests that can't be answered in time are refused. */
	limitAnswers(stop: StopTimes): void {
		this.stopLimit.set(stop);
	}

	/** Refuses the waiting requests that can no longer be answered in time. To be called repeatedly after {@link limitAnswers}. */
	refuseLate(): void {
		this.#reviewStop(false);
	}

	/** Ends all requests with an answer, except those whose answer has begun: they are cut so that they don't look complete. */
	endAll(): void {
		this.#reviewStop(true);
	}

	#reviewStop(isOver: boolean): void {
		for (const exchange of this.#exchanges) {
			exchange.reviewStop(isOver);
		}
	}
}
