/** Times of events in a sliding window. The cost of an event, and the memory, do not depend on how many came before the window. */

/** Outdated times that are kept before they are moved out of the array at once. */
const MAX_OUTDATED = 1024;

export class RecentTimes {
	readonly #windowMs: number;

	/** Ascending. Those before `#start` are outdated. */
	#times: number[] = [];
	#start = 0;

	/** @param windowMs length of the window in milliseconds */
	constructor({windowMs}: {readonly windowMs: number}) {
		this.#windowMs = windowMs;
	}

	/** Adds an event. @param now its monotonic time in milliseconds */
	record(now: number): void {
		this.#times.push(now);
		this.#dropOutdated(now);
	}

	/** Number of events in the window that ends now. */
	countAt(now: number): number {
		this.#dropOutdated(now);
		return this.#times.length - this.#start;
	}

	#dropOutdated(now: number): void {
		while (this.#start < this.#times.length && this.#times[this.#start] < now - this.#windowMs) {
			this.#start++;
		}

		if (this.#start > MAX_OUTDATED && this.#start * 2 > this.#times.length) {
			this.#times = this.#times.slice(this.#start);
			this.#start = 0;
		}
	}
}
