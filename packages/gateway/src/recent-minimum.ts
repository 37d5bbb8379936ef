/** Smallest of the values recorded lately. Performs no I/O. */
export class RecentMinimum {
	readonly #windowMs: number;
	#startedAt = Number.NEGATIVE_INFINITY;
	#previous = Number.POSITIVE_INFINITY;
	#current = Number.POSITIVE_INFINITY;

	/** @param windowMs time for which a value counts at least; at most twice as long */
	constructor({windowMs}: {readonly windowMs: number}) {
		this.#windowMs = windowMs;
	}

	record(value: number, now: number): void {
		this.#advance(now);
		this.#current = Math.min(this.#current, value);
	}

	/** @returns undefined if no value was recorded lately */
	at(now: number): number | undefined {
		this.#advance(now);
		const minimum = Math.min(this.#previous, this.#current);
		return Number.isFinite(minimum) ? minimum : undefined;
	}

	#advance(now: number): void {
		const age = now - this.#startedAt;
		if (age < this.#windowMs) {
			return;
		}

		this.#previous = age < 2 * this.#windowMs ? this.#current : Number.POSITIVE_INFINITY;
		this.#current = Number.POSITIVE_INFINITY;
		this.#startedAt = now;
	}
}
