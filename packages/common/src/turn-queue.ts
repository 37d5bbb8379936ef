/** Spreads work over turns of the event loop, so that little of it delays what else has to be done. */
export class TurnQueue {
	readonly #perTurn: number;
	readonly #waiting: Array<() => void> = [];
	#isScheduled = false;

	/** @param perTurn number of calls in one turn */
	constructor({perTurn}: {readonly perTurn: number}) {
		this.#perTurn = perTurn;
	}

	/** Calls the function in a later turn, after those that were added before. */
	add(call: () => void): void {
		this.#waiting.push(call);
		this.#schedule();
	}

	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		setImmediate(() => {
			this.#isScheduled = false;
			for (const call of this.#waiting.splice(0, this.#perTurn)) {
				call();
			}

			if (this.#waiting.length > 0) {
				this.#schedule();
			}
		});
	}
}
