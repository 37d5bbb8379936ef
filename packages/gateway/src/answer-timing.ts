/** Times at which data of one answer arrived, over all attempts that contribute to it. Monotonic milliseconds. */
export class AnswerTiming {
	#firstDataAt: number | undefined;
	#lastDataAt = 0;
	#longestGapMs = 0;

	get firstDataAt(): number | undefined {
		return this.#firstDataAt;
	}

	get longestGapMs(): number {
		return this.#longestGapMs;
	}

	recordData(now: number): void {
		if (this.#firstDataAt === undefined) {
			this.#firstDataAt = now;
		} else {
			this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastDataAt);
		}

		this.#lastDataAt = now;
	}
}
