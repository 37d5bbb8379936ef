/** Token bucket whose rate can change. Arguments `now` are monotonic milliseconds. */
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

	/** Changes the rate from `now` on. Tokens beyond the new bucket size are dropped. */
	setRate(rate: number, now: number): void {
		if (rate === this.#rate) {
			return;
		}

		this.#refill(now);
		this.#rate = rate;
		this.#tokens = Math.min(this.#tokens, this.#size);
	}

	/** @returns false if the bucket has no token to take. */
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

	/** Returns the token of a request that was not run. */
	refund(): void {
		this.#tokens = Math.min(this.#size, this.#tokens + 1);
	}

	/** Seconds until the bucket has a token at the current rate; infinite at rate 0. */
	secondsToNextToken(now: number): number {
		this.#refill(now);
		return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / this.#rate;
	}

	/** Size of the bucket. At least one token, as a bucket for a small share of the rate could otherwise never hold a whole token. */
	get #size(): number {
		return Math.max(1, this.#rate * this.#burstSeconds);
	}

	#refill(now: number): void {
		const elapsed = Math.max(0, now - this.#updatedAt);
		this.#updatedAt = Math.max(this.#updatedAt, now);
		this.#tokens = Math.min(this.#size, this.#tokens + (elapsed * this.#rate / 1000));
	}
}
