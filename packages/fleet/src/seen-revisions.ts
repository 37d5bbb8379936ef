/**
Tracks the store revision up to which every change was received, each by some part. If the store has a newer revision, some
watch is behind.
*/
export class SeenRevisions {
	readonly #seenAhead = new Set<number>();
	#upTo = 0;

	/** Revision up to which all changes were received. */
	get seenUpTo(): number {
		return this.#upTo;
	}

	/** Records a received revision. */
	add(revision: number): void {
		if (revision > this.#upTo) {
			this.#seenAhead.add(revision);
			this.#absorbContiguous();
		}
	}

	/** Records that no part has further changes up to the revision. */
	advanceTo(revision: number): void {
		if (revision <= this.#upTo) {
			return;
		}

		this.#upTo = revision;
		for (const seen of this.#seenAhead) {
			if (seen <= revision) {
				this.#seenAhead.delete(seen);
			}
		}

		this.#absorbContiguous();
	}

	#absorbContiguous(): void {
		while (this.#seenAhead.delete(this.#upTo + 1)) {
			this.#upTo++;
		}
	}
}
