/** Time in which the writers of the store write their items again after it has gone back to a copy of itself. */
import type {Log, Metrics} from '@yuccawood/common';
import {REWRITE_GRACE_MS} from './constants.js';
import {isHeldBack} from './copied-items.js';
import type {FleetView} from './fleet-view.js';
import type {ItemLog} from './item-log.js';
import type {StoreItem} from './item-source.js';
import type {PartFollower} from './part-follower.js';
import type {ItemDecoder} from './types.js';

export type RewriteGraceOptions = {
	readonly decoder: ItemDecoder;
	readonly view: FleetView;
	readonly items: ItemLog;
	readonly log: Log;
	readonly metrics: Metrics;
};

export class RewriteGrace {
	readonly #options: RewriteGraceOptions;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: RewriteGraceOptions) {
		this.#options = options;
	}

	/** Called when a part was read from a store that has gone back. All parts are read at once, and again at the end of the time. */
	begin(parts: readonly PartFollower[]): void {
		if (this.#timer) {
			return;
		}

		this.#options.log.audit('The store has gone back to a copy of itself. What is in force and missing there stays until its writers had time to write it again.', {graceMs: REWRITE_GRACE_MS});
		this.#options.metrics.count('fleet.store_eras');
		for (const part of parts) {
			part.restart();
		}

		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			for (const part of parts) {
				part.reread();
			}
		}, REWRITE_GRACE_MS).unref();
	}

	/** Whether an item of the copy waits for its writer. */
	holdsBack(item: StoreItem): boolean {
		const {decoder, view, items} = this.#options;
		const decoded = decoder.decode(item);
		if (!decoded.ok) {
			return true;
		}

		const announcement = decoded.val;
		const listed = announcement.kind === 'upstream' ? view.upstreams.find(({id}) => id === announcement.id) : undefined;
		return isHeldBack({announcement, listed, wasRemoved: items.isRemoved(item.key)});
	}
}
