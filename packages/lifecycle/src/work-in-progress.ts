/** Counts requests and streams in progress, so that a shutdown can wait for them. */
export class WorkInProgress {
	readonly #waiting = new Set<() => void>();
	#count = 0;

	get count(): number {
		return this.#count;
	}

	/** Counts one piece of work. @returns a function that ends it; further calls have no effect. */
	begin(): () => void {
		let isRunning = true;
		this.#count++;
		return () => {
			if (!isRunning) {
				return;
			}

			isRunning = false;
			this.#count--;
			if (this.#count === 0) {
				this.#wake();
			}
		};
	}

	/** Resolves when no work is in progress. */
	async idle(): Promise<void> {
		while (this.#count > 0) {
			await new Promise<void>(resolve => {
				this.#waiting.add(resolve);
			});
		}
	}

	#wake(): void {
		for (const resolve of this.#waiting) {
			resolve();
		}

		this.#waiting.clear();
	}
}
