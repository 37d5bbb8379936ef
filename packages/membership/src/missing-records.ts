import type {Clock} from '@yuccawood/common';
import {MAX_MISSING_RECORDS, MISSING_RECORD_RETENTION_MS} from './constants.js';

/** Members of which a peer has mentioned a version whose record is missing here. Any peer can be asked for the record. */
export class MissingRecords {
	readonly #clock: Clock;

	/** Monotonic time of the last mention by member id, in the order of requests: those requested least recently come first. */
	readonly #mentionedAt = new Map<string, number>();

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	get size(): number {
		return this.#mentionedAt.size;
	}

	/** Adds a member or renews the time of its last mention. Above the limit, new members are ignored until a peer mentions them again. */
	add(id: string): void {
		if (this.#mentionedAt.size < MAX_MISSING_RECORDS || this.#mentionedAt.has(id)) {
			this.#mentionedAt.set(id, this.#clock.monotonic());
		}
	}

	remove(id: string): void {
		this.#mentionedAt.delete(id);
	}

	/** Up to `count` ids to request, those requested least recently first. Drops ids that no peer has mentioned within the retention time. */
	nextToRequest(count: number): readonly string[] {
		const oldest = this.#clock.monotonic() - MISSING_RECORD_RETENTION_MS;
		const taken: string[] = [];
		for (const [id, since] of this.#mentionedAt) {
			if (since < oldest) {
				this.#mentionedAt.delete(id);
			} else if (taken.length < count) {
				taken.push(id);
			}
		}

		for (const id of taken) {
			const since = this.#mentionedAt.get(id);
			this.#mentionedAt.delete(id);
			this.#mentionedAt.set(id, since ?? oldest);
		}

		return taken;
	}
}
