/** Follows the platform's store by one watch, and the peers while the store cannot be reached. */
import {
	describeError, delay, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import {
	COALESCE_MS, LAPSE_WINDOW_MS, MAX_STORE_RETRY_MS, PEER_POLL_MS, REVISION_CHECK_MS, SILENT_WATCH_MS, STORE_RETRY_MS, WATCH_WAIT_MS,
} from './constants.js';
import type {FleetView} from './fleet-view.js';
import {ItemLog} from './item-log.js';
import type {
	ItemDecoder, ItemSource, StoreItem, StoreSnapshot,
} from './types.js';

/** Asks one peer for the items changed after a revision; nothing when no peer answered. */
export type AskPeer = (afterRevision: number) => Promise<readonly StoreItem[] | undefined>;

export type StoreFollowerOptions = {
	readonly source: ItemSource;
	readonly decoder: ItemDecoder;
	readonly view: FleetView;

	/** Keys that this process follows; empty for all. */
	readonly prefix: string;

	/** Keys whose revisions show whether the watch went silent; all of the store if absent. A small part keeps the look cheap. */
	readonly checkedPrefix?: string;
	readonly askPeer?: AskPeer;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

const round = (milliseconds: number | undefined): number | undefined => milliseconds === undefined ? undefined : Math.round(milliseconds);

export class StoreFollower {
	readonly items: ItemLog;
	readonly #options: StoreFollowerOptions;
	readonly #log: Log;
	#isReachable = false;
	#wasReached = false;
	#regainedAt = Number.NEGATIVE_INFINITY;
	#watchFrom: number | undefined;
	#currentWatch: AbortController | undefined;
	#failures = 0;

	/** When this process was last known to have all changes. */
	#currentAt: number | undefined;

	constructor(options: StoreFollowerOptions) {
		this.#options = options;
		this.#log = options.log.part('store');
		this.items = new ItemLog({clock: options.clock});
	}

	/** Whether the last call to the store was answered. */
	get isReachable(): boolean {
		return this.#isReachable;
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.#follow(signal), this.#checkRevision(signal), this.#pollPeers(signal)]);
	}

	/** Takes items from the store or from a peer. */
	take(items: readonly StoreItem[]): void {
		const {decoder, view, metrics} = this.#options;
		const mayBeLapse = !this.#isReachable || this.#options.clock.monotonic() - this.#regainedAt < LAPSE_WINDOW_MS;
		const newest = new Map(items.map(item => [item.key, item]));
		for (const item of newest.values()) {
			if (!this.items.record(item)) {
				continue;
			}

			const decoded = decoder.decode(item);
			if (decoded.err) {
				metrics.count('fleet.unreadable_items');
				this.#log.warn('An item of the store cannot be read; what is in force stays.', {key: item.key, revision: item.revision, error: decoded.val.message});
				continue;
			}

			view.apply(decoded.val, {revision: item.revision, mayBeLapse, ageBoundMs: this.#ageBoundMs});
		}
	}

	async #follow(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isAnswered = this.#watchFrom === undefined ? await this.#resync() : await this.#watchOnce(this.#watchFrom, signal);
			if (isAnswered) {
				this.#noteReached();
				this.#failures = 0;
				await delay(COALESCE_MS, signal);
				continue;
			}

			const pauseMs = Math.min(MAX_STORE_RETRY_MS, STORE_RETRY_MS * (2 ** this.#failures++));
			await delay(pauseMs * (0.5 + this.#options.random.next()), signal);
		}
	}

	/** Reads everything. Keys that are gone are taken as removed at the revision of the snapshot. */
	async #resync(): Promise<boolean> {
		const {source, prefix} = this.#options;
		const startedAt = this.#options.clock.monotonic();
		const result = await source.snapshot(prefix);
		if (result.err) {
			this.#noteFailure(result.val);
			return false;
		}

		const {items, revision} = result.val;
		const present = new Set(items.map(({key}) => key));
		const removed = this.items.keys.filter(key => key.startsWith(prefix) && !present.has(key)).map(key => ({key, value: undefined, revision}));
		this.#noteReached();
		this.#noteTransfer('snapshot', result.val);
		this.take([...items, ...removed]);
		this.#currentAt = startedAt;
		this.items.advance(revision);
		this.#options.view.markCurrent();
		this.#watchFrom = revision;
		return true;
	}

	async #watchOnce(from: number, signal: AbortSignal): Promise<boolean> {
		const {source, prefix} = this.#options;
		const controller = new AbortController();
		const cancel = (): void => {
			controller.abort();
		};

		signal.addEventListener('abort', cancel, {once: true});
		this.#currentWatch = controller;
		const result = await source.watch(prefix, from, WATCH_WAIT_MS, controller.signal);
		signal.removeEventListener('abort', cancel);
		this.#currentWatch = undefined;
		if (result.ok) {
			this.#noteReached();
			this.#noteTransfer('watch', result.val);
			this.take(result.val.items);
			this.#currentAt = this.#options.clock.monotonic();
			this.items.advance(result.val.revision);
			this.#watchFrom = Math.max(from, result.val.revision);
			return true;
		}

		if (result.val.kind === 'history-lost') {
			this.#log.warn('The store no longer keeps the changes since the last watch; everything is read again.', {revision: from});
			this.#watchFrom = undefined;
			return true;
		}

		if (!controller.signal.aborted) {
			this.#noteFailure(result.val);
		}

		return false;
	}

	/** Finds a watch that went silent: the store has a newer revision than the watch delivered. */
	async #checkRevision(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await delay(REVISION_CHECK_MS, signal);
			const watch = this.#currentWatch;
			const from = this.#watchFrom;
			if (signal.aborted || watch === undefined || from === undefined) {
				continue;
			}

			const startedAt = this.#options.clock.monotonic();
			const result = await this.#options.source.recentRevision(this.#options.checkedPrefix);
			if (result.err) {
				this.#noteFailure(result.val);
				continue;
			}

			if (result.val <= from) {
				this.#currentAt = Math.max(this.#currentAt ?? startedAt, startedAt);
				continue;
			}

			await delay(SILENT_WATCH_MS, signal);
			if (this.#currentWatch === watch && this.#watchFrom === from) {
				this.#log.warn('The watch of the store delivers nothing although there are changes; it is replaced.', {watched: from, revision: result.val});
				this.#options.metrics.count('fleet.silent_watches');
				this.#watchFrom = undefined;
				watch.abort();
			}
		}
	}

	async #pollPeers(signal: AbortSignal): Promise<void> {
		const {askPeer} = this.#options;
		if (!askPeer) {
			return;
		}

		while (!signal.aborted) {
			await delay(PEER_POLL_MS * (0.75 + (this.#options.random.next() / 2)), signal);
			if (this.#isReachable || signal.aborted) {
				continue;
			}

			const items = await askPeer(this.items.revision);
			if (items && items.length > 0 && !this.#isReachable) {
				this.#log.info('Changes were learned from a peer while the store is away.', {items: items.length});
				this.take(items);
			}
		}
	}

	/** Longest time since which a change that is learned now may have been in the store. */
	get #ageBoundMs(): number | undefined {
		return this.#currentAt === undefined ? undefined : this.#options.clock.monotonic() - this.#currentAt;
	}

	#noteTransfer(call: string, {items, revision, transfer}: StoreSnapshot): void {
		const {prefix, metrics} = this.#options;
		metrics.count('fleet.store_bytes', {part: prefix, call}, transfer.bytes);
		if (items.length > 0) {
			metrics.timing('fleet.store_transfer_ms', transfer.milliseconds, {part: prefix, call});
			this.#log.info('The store told changes.', {
				prefix, call, items: items.length, revision, bytes: transfer.bytes, transferMs: Math.round(transfer.milliseconds), ageBoundMs: round(this.#ageBoundMs),
			});
		}
	}

	#noteReached(): void {
		if (!this.#isReachable) {
			this.#isReachable = true;
			this.#regainedAt = this.#wasReached ? this.#options.clock.monotonic() : Number.NEGATIVE_INFINITY;
			this.#wasReached = true;
			this.#log.info('The store answers.', {revision: this.items.revision});
		}
	}

	#noteFailure(error: unknown): void {
		this.#options.metrics.count('fleet.store_failures');
		if (this.#isReachable) {
			this.#isReachable = false;
			this.#log.warn('The store does not answer; the last known state stays in force.', {revision: this.items.revision, error: describeError(error)});
		}
	}
}
