/** Token bucket that allows `perSecond` calls per second on average. It holds at most the tokens of one second. */
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

	/** Takes a token for one call. @returns false if none is left, that is if the call exceeds the limit. */
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
