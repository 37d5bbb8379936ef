/** Places in an engine's batch and the bounded queue for them, the most urgent first. */

type Waiting = {readonly priority: number; readonly sequence: number; readonly start: (isAdmitted: boolean) => void};

export class Batch {
	readonly #capacity: number;
	readonly #queueLimit: number;
	#waiting: Waiting[] = [];
	#running = 0;
	#sequence = 0;

	constructor({capacity, queueLimit}: {readonly capacity: number; readonly queueLimit: number}) {
		this.#capacity = capacity;
		this.#queueLimit = queueLimit;
	}

	get load(): {readonly running: number; readonly waiting: number} {
		return {running: this.#running, waiting: this.#waiting.length};
	}

	get isFull(): boolean {
		return this.#running >= this.#capacity && this.#waiting.length >= this.#queueLimit;
	}

	/** Waits for a place. @returns false when the signal aborts first. */
	async enter(priority: number, signal: AbortSignal): Promise<boolean> {
		if (signal.aborted) {
			return false;
		}

		if (this.#running < this.#capacity) {
			this.#running++;
			return true;
		}

		return new Promise<boolean>(resolve => {
			const leave = (): void => {
				this.#waiting = this.#waiting.filter(other => other !== waiting);
				resolve(false);
			};

			const waiting: Waiting = {
				priority,
				sequence: this.#sequence++,
				start(isAdmitted) {
					signal.removeEventListener('abort', leave);
					resolve(isAdmitted);
				},
			};
			this.#waiting.push(waiting);
			signal.addEventListener('abort', leave, {once: true});
		});
	}

	/** Gives a place to the next request. */
	leave(): void {
		const [next] = this.#waiting.toSorted((a, b) => b.priority - a.priority || a.sequence - b.sequence);
		if (!next) {
			this.#running--;
			return;
		}

		this.#waiting = this.#waiting.filter(other => other !== next);
		next.start(true);
	}
}
