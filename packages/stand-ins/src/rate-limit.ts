/** Token bucket for calls, filled at a constant rate and holding at most one second's worth. */
export class RateLimit {
	readonly #perSecond: number;
	readonly #monotonic: () => number;
	#tokens: number;
	#filledAt: number;

	constructor({perSecond, monotonic}: {readonly perSecond: number; readonly monotonic: () => number}) {
		this.#perSecond = perSecond;
		this.#monotonic = monotonic;
		this.#tokens = perSecond;
		this.#filledAt = monotonic();
	}

	/** @returns whether the call is within the limit. */
	tryTake(): boolean {
		const now = this.#monotonic();
		this.#tokens = Math.min(this.#perSecond, this.#tokens + ((now - this.#filledAt) * this.#perSecond / 1000));
		this.#filledAt = now;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
