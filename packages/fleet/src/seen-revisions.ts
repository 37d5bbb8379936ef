/** Up to which revision of the store every change was seen in some part, so that a newer one shows that some watch is behind. */
export class SeenRevisions {
	readonly #beyond = new Set<number>();
	#upTo = 0;

	/** All changes up to here were seen. */
	get upTo(): number {
		return this.#upTo;
	}

	add(revision: number): void {
		if (revision > this.#upTo) {
			this.#beyond.add(revision);
			this.#close();
		}
	}

	/** Notes that all parts were asked and have nothing more up to the revision. */
	advance(revision: number): void {
		if (revision <= this.#upTo) {
			return;
		}

		this.#upTo = revision;
		for (const seen of this.#beyond) {
			if (seen <= revision) {
				this.#beyond.delete(seen);
			}
		}

		this.#close();
	}

	#close(): void {
		while (this.#beyond.delete(this.#upTo + 1)) {
			this.#upTo++;
		}
	}
}
