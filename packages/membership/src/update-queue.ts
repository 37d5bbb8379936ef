/** Changes that still have to be sent, those sent least often first. */
export class UpdateQueue {
	readonly #transmits = new Map<string, number>();

	get size(): number {
		return this.#transmits.size;
	}

	/** Queues a member whose record changed; an earlier change of the same member is replaced. */
	add(id: string): void {
		this.#transmits.delete(id);
		this.#transmits.set(id, 0);
	}

	/** True if a change was not sent to anybody yet. */
	get hasUnsent(): boolean {
		return [...this.#transmits.values()].includes(0);
	}

	/** Ids in the order in which they should be sent. */
	pending(): readonly string[] {
		return [...this.#transmits.entries()].sort((a, b) => a[1] - b[1]).map(([id]) => id);
	}

	/** Counts one transmission; the change is dropped after `limit` of them. */
	sent(id: string, limit: number): void {
		const transmits = (this.#transmits.get(id) ?? limit) + 1;
		if (transmits >= limit) {
			this.#transmits.delete(id);
			return;
		}

		this.#transmits.set(id, transmits);
	}

	remove(id: string): void {
		this.#transmits.delete(id);
	}
}
