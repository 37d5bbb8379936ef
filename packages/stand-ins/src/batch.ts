/** Slots of an engine's batch and the bounded priority queue of requests that wait for one. */

type QueuedRequest = {readonly priority: number; readonly sequence: number; readonly start: (isAdmitted: boolean) => void};

/** A request with a higher priority gets the next free slot; requests of equal priority get it in order of arrival. */
export class Batch {
	readonly #capacity: number;
	readonly #queueLimit: number;
	#queue: QueuedRequest[] = [];
	#running = 0;
	#sequence = 0;

	constructor({capacity, queueLimit}: {readonly capacity: number; readonly queueLimit: number}) {
		this.#capacity = capacity;
		this.#queueLimit = queueLimit;
	}

	get load(): {readonly running: number; readonly waiting: number} {
		return {running: this.#running, waiting: this.#queue.length};
	}

	get isFull(): boolean {
		return this.#running >= this.#capacity && this.#queue.length >= this.#queueLimit;
	}

	/** Waits for a slot. @returns false if the signal aborts first. The caller checks `isFull` before. */
	async acquireSlot(priority: number, signal: AbortSignal): Promise<boolean> {
		if (signal.aborted) {
			return false;
		}

		if (this.#running < this.#capacity) {
			this.#running++;
			return true;
		}

		return new Promise<boolean>(resolve => {
			const leave = (): void => {
				this.#queue = this.#queue.filter(other => other !== waiting);
				resolve(false);
			};

			const waiting: QueuedRequest = {
				priority,
				sequence: this.#sequence++,
				start(isAdmitted) {
					signal.removeEventListener('abort', leave);
					resolve(isAdmitted);
				},
			};
			this.#queue.push(waiting);
			signal.addEventListener('abort', leave, {once: true});
		});
	}

	/** Passes the slot to the next queued request, or frees it if none is queued. */
	releaseSlot(): void {
		const [next] = this.#queue.toSorted((a, b) => b.priority - a.priority || a.sequence - b.sequence);
		if (!next) {
			this.#running--;
			return;
		}

		this.#queue = this.#queue.filter(other => other !== next);
		next.start(true);
	}
}
