/** Up to which revision of the store every change was seen in some part, so that a newer one shows that some watch is behind. */
export class SeenRevisions {
	readonly #seenAhead = new Set<number>();
	#upTo = 0;

	/** All changes up to here were seen. */
	get upTo(): number {
		return this.#upTo;
	}

	add(revision: number): void {
		if (revision > this.#upTo) {
			this.#seenAhead.add(revision);
			this.#absorbContiguous();
		}
	}

	/** Notes that all parts were asked and have nothing more up to the revision. */
	advance(revision: number): void {
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
