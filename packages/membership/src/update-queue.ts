/** Members whose changes still have to be sent. Each change is sent a limited number of times, those sent least often first. */
export class UpdateQueue {
	readonly #transmissions = new Map<string, number>();

	get size(): number {
		return this.#transmissions.size;
	}

	/** Queues a member whose record changed. Replaces an earlier change of the same member and restarts its count. */
	add(id: string): void {
		this.#transmissions.delete(id);
		this.#transmissions.set(id, 0);
	}

	/** True if any change has not been sent to a peer yet. */
	get hasUnsent(): boolean {
		return [...this.#transmissions.values()].includes(0);
	}

	/** Ids of the queued members, those sent least often first. */
	pending(): readonly string[] {
		return [...this.#transmissions.entries()].sort((a, b) => a[1] - b[1]).map(([id]) => id);
	}

	/** Counts one transmission of a change. The change leaves the queue after `limit` transmissions. */
	recordTransmission(id: string, limit: number): void {
		const transmissions = (this.#transmissions.get(id) ?? limit) + 1;
		if (transmissions >= limit) {
			this.#transmissions.delete(id);
			return;
		}

		this.#transmissions.set(id, transmissions);
	}

	remove(id: string): void {
		this.#transmissions.delete(id);
	}
}
