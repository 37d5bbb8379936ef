/** Items of the store as last seen, so that peers that cannot reach the store can catch up. */
import type {Clock} from '@yuccawood/common';
import {REMOVAL_MEMORY_MS} from './constants.js';
import type {StoreItem} from './types.js';

export class ItemLog {
	readonly #clock: Clock;
	readonly #items = new Map<string, StoreItem>();
	readonly #removedAt = new Map<string, number>();
	#revision = 0;

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	/** Highest store revision seen. */
	get revision(): number {
		return this.#revision;
	}

	/** Keys of the items that exist. */
	get keys(): readonly string[] {
		return [...this.#items.values()].filter(({value}) => value !== undefined).map(({key}) => key);
	}

	/** @returns whether the item is newer than the one known. */
	record(item: StoreItem): boolean {
		const known = this.#items.get(item.key);
		if (known && known.revision >= item.revision) {
			return false;
		}

		this.#items.set(item.key, item);
		this.#revision = Math.max(this.#revision, item.revision);
		if (item.value === undefined) {
			this.#removedAt.set(item.key, this.#clock.monotonic());
			this.#forgetOldRemovals();
		} else {
			this.#removedAt.delete(item.key);
		}

		return true;
	}

	/** Notes that all changes up to the revision are recorded. */
	advance(revision: number): void {
		this.#revision = Math.max(this.#revision, revision);
	}

	/** Items changed after the revision. */
	changesSince(revision: number): readonly StoreItem[] {
		return [...this.#items.values()].filter(item => item.revision > revision);
	}

	#forgetOldRemovals(): void {
		const oldest = this.#clock.monotonic() - REMOVAL_MEMORY_MS;
		for (const [key, at] of this.#removedAt) {
			if (at < oldest) {
				this.#removedAt.delete(key);
				this.#items.delete(key);
			}
		}
	}
}
