/** Token bucket whose rate may change. Times are monotonic milliseconds. */
export class TokenBucket {
	readonly #burstSeconds: number;
	#rate: number;
	#tokens: number;
	#updatedAt: number;

	constructor({rate, burstSeconds, now}: {readonly rate: number; readonly burstSeconds: number; readonly now: number}) {
		this.#burstSeconds = burstSeconds;
		this.#rate = rate;
		this.#tokens = Math.max(1, rate * burstSeconds);
		this.#updatedAt = now;
	}

	/** Tokens per second. */
	get rate(): number {
		return this.#rate;
	}

	/** Changes the rate from now on. */
	setRate(rate: number, now: number): void {
		if (rate === this.#rate) {
			return;
		}

		this.#refill(now);
		this.#rate = rate;
		this.#tokens = Math.min(this.#tokens, this.#burst);
	}

	/** Takes one token if there is one. */
	take(now: number): boolean {
		if (this.#rate === Number.POSITIVE_INFINITY) {
			return true;
		}

		this.#refill(now);
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	/** Gives back a token of a request that was not run. */
	refund(): void {
		this.#tokens = Math.min(this.#burst, this.#tokens + 1);
	}

	/** Seconds until one token is there at the current rate; infinite at rate 0. */
	secondsToNext(now: number): number {
		this.#refill(now);
		return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / this.#rate;
	}

	/** At least one token, so that a small share of the rate is usable. */
	get #burst(): number {
		return Math.max(1, this.#rate * this.#burstSeconds);
	}

	#refill(now: number): void {
		const elapsed = Math.max(0, now - this.#updatedAt);
		this.#updatedAt = Math.max(this.#updatedAt, now);
		this.#tokens = Math.min(this.#burst, this.#tokens + (elapsed * this.#rate / 1000));
	}
}
