/** Counts requests and streams in progress, so that a shutdown can wait for them. */
export class WorkInProgress {
	readonly #idleListeners = new Set<() => void>();
	#count = 0;

	/** Number of requests and streams in progress. */
	get count(): number {
		return this.#count;
	}

	/** Counts one request or stream. @returns a function that ends it; further calls have no effect. */
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
				this.#notifyIdle();
			}
		};
	}

	/** Resolves when no work is in progress. Work that begins while it waits is waited for too. */
	async waitUntilIdle(): Promise<void> {
		while (this.#count > 0) {
			await new Promise<void>(resolve => {
				this.#idleListeners.add(resolve);
			});
		}
	}

	#notifyIdle(): void {
		for (const resolve of this.#idleListeners) {
			resolve();
		}

		this.#idleListeners.clear();
	}
}
