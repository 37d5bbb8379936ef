import type {Clock} from '@yuccawood/common';
import {MAX_WANTED_RECORDS, WANTED_RETENTION_MS} from './constants.js';

/** Members whose version is known but whose record is still missing. Any peer may be asked for them. */
export class WantedRecords {
	readonly #clock: Clock;
	readonly #since = new Map<string, number>();

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	get size(): number {
		return this.#since.size;
	}

	add(id: string): void {
		if (this.#since.size < MAX_WANTED_RECORDS || this.#since.has(id)) {
			this.#since.set(id, this.#clock.monotonic());
		}
	}

	remove(id: string): void {
		this.#since.delete(id);
	}

	/** Up to `count` ids, those asked for least recently first. Ids that nobody has mentioned for a while are dropped. */
	next(count: number): readonly string[] {
		const oldest = this.#clock.monotonic() - WANTED_RETENTION_MS;
		const taken: string[] = [];
		for (const [id, since] of this.#since) {
			if (since < oldest) {
				this.#since.delete(id);
			} else if (taken.length < count) {
				taken.push(id);
			}
		}

		for (const id of taken) {
			const since = this.#since.get(id);
			this.#since.delete(id);
			this.#since.set(id, since ?? oldest);
		}

		return taken;
	}
}
