/** Keeps the last known items of the store, so that peers that cannot reach the store can get them from this process. */
import type {Clock} from '@yuccawood/common';
import {REMOVAL_RETENTION_MS} from './constants.js';
import type {PartState, StoreItem} from './item-source.js';

export class ItemLog {
	readonly #clock: Clock;
	readonly #items = new Map<string, StoreItem>();
	readonly #removedAt = new Map<string, number>();
	#revision = 0;

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	/** Highest revision of a known item. Items with lower revisions may still be missing. */
	get revision(): number {
		return this.#revision;
	}

	/** Keys of the known items that were not removed. */
	get keys(): readonly string[] {
		return [...this.#items.values()].filter(({value}) => value !== undefined).map(({key}) => key);
	}

	/** Whether the key is known to have been removed. */
	isRemoved(key: string): boolean {
		const item = this.#items.get(key);
		return item !== undefined && item.value === undefined;
	}

	/** Stores the item unless it is already known. @returns whether it was stored */
	record(item: StoreItem): boolean {
		const known = this.#items.get(item.key);
		if (known && known.revision >= item.revision) {
			return false;
		}

		this.#items.set(item.key, item);
		this.#revision = Math.max(this.#revision, item.revision);
		if (item.value === undefined) {
			this.#removedAt.set(item.key, this.#clock.monotonic());
			this.#deleteOldRemovals();
		} else {
			this.#removedAt.delete(item.key);
		}

		return true;
	}

	/** Items of a part that a peer with this state lacks. */
	changesSince({prefix, revision, later}: PartState): readonly StoreItem[] {
		return this.#itemsOf(prefix).filter(item => item.revision > Math.max(revision, later[item.key] ?? 0));
	}

	/** State of a part whose changes are all recorded up to the revision. */
	stateOf(prefix: string, revision: number): PartState {
		const later = this.#itemsOf(prefix).filter(item => item.revision > revision).map(item => [item.key, item.revision] as const);
		return {prefix, revision, later: Object.fromEntries(later)};
	}

	#itemsOf(prefix: string): readonly StoreItem[] {
		return [...this.#items.values()].filter(({key}) => key.startsWith(prefix));
	}

	#deleteOldRemovals(): void {
		const oldest = this.#clock.monotonic() - REMOVAL_RETENTION_MS;
		for (const [key, at] of this.#removedAt) {
			if (at < oldest) {
				this.#removedAt.delete(key);
				this.#items.delete(key);
			}
		}
	}
}
