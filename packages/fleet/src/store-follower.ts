/** Follows the platform's store, each part by a watch of its own, and the peers while the store cannot be reached. */
import {
	delay, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import {
	PEER_POLL_MS, PROMPT_ANSWER_MS, REVISION_CHECK_MS, SILENT_WATCH_MS, STALE_READ_MS,
} from './constants.js';
import type {FleetView} from './fleet-view.js';
import {ItemLog} from './item-log.js';
import {PartFollower, type LearnedBy} from './part-follower.js';
import {RevisionTimes} from './revision-times.js';
import {SeenRevisions} from './seen-revisions.js';
import type {
	ItemDecoder, ItemSource, PartState, StoreItem, StorePart,
} from './types.js';

/** Asks one peer for the items that are missing in some parts, bulky or not; nothing when no peer answered. */
export type AskPeer = (parts: readonly PartState[], isBulky: boolean) => Promise<readonly StoreItem[] | undefined>;

export type StoreFollowerOptions = {
	readonly source: ItemSource;
	readonly decoder: ItemDecoder;
	readonly view: FleetView;

	/** Parts that this process follows. */
	readonly parts: readonly StorePart[];

	/** Name of a small part whose revisions show whether its watch went silent; absent when the process follows the whole store. */
	readonly checkedPart?: string;
	readonly askPeer?: AskPeer;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

export class StoreFollower {
	readonly items: ItemLog;
	readonly #options: StoreFollowerOptions;
	readonly #log: Log;
	readonly #parts: readonly PartFollower[];
	readonly #times = new RevisionTimes();
	readonly #seen = new SeenRevisions();

	/** When the last look that was answered promptly was sent: news was not held up until then. */
	#promptAt: number | undefined;
	#wasPrompt = true;
	#lookSince: number | undefined;

	constructor(options: StoreFollowerOptions) {
		const {clock, source, random, metrics} = options;
		this.#options = options;
		this.#log = options.log.part('store');
		this.items = new ItemLog({clock});
		this.#parts = options.parts.map(part => new PartFollower({
			part, source, items: this.items, times: this.#times, clock, random, log: this.#log, metrics,
			onItems: (items, learnedBy) => {
				this.#take(items, learnedBy);
			},
			isExplained: revision => this.#isSeen(revision),
			onKnown: () => {
				if (this.#parts.every(({part, isKnown}) => part.isBulky || isKnown)) {
					this.#options.view.markCurrent();
				}
			},
		}));
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([...this.#parts.map(async part => part.run(signal)), this.#checkRevision(signal), this.#pollPeers(false, signal), this.#pollPeers(true, signal)]);
	}

	/** Takes items that were read elsewhere: from a peer, or from a part that is not followed. */
	take(items: readonly StoreItem[]): void {
		this.#take(items, 'read');
	}

	#take(items: readonly StoreItem[], learnedBy: LearnedBy): void {
		const {decoder, view, metrics} = this.#options;
		const newest = new Map(items.map(item => [item.key, item]));
		for (const {revision} of this.#checked ? [] : items) {
			this.#seen.add(revision);
		}

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

			const part = this.#partOf(item.key);
			view.apply(decoded.val, {revision: item.revision, mayBeLapse: this.#mayBeLapse, ...this.#ages(item, {part, learnedBy})});
		}
	}

	/** Whether a removal may come from an outage of the store, which the watch of the removed item need not have noticed. A bulky part may fail for its size alone. */
	get #mayBeLapse(): boolean {
		return this.#parts.some(({part, mayBeLapse}) => !part.isBulky && mayBeLapse);
	}

	#partOf(key: string): PartFollower | undefined {
		return this.#parts.find(({part}) => key.startsWith(part.prefix));
	}

	#ages({revision}: StoreItem, {part, learnedBy}: {readonly part: PartFollower | undefined; readonly learnedBy: LearnedBy}): {readonly ageBoundMs?: number; readonly ageMs?: number} {
		const now = this.#options.clock.monotonic();
		const notWrittenAt = this.#times.notWrittenAt(revision);
		const ageBoundMs = notWrittenAt === undefined ? undefined : now - notWrittenAt;
		if (!part?.isKnown) {
			return {ageBoundMs};
		}

		if (learnedBy === 'read') {
			return {ageBoundMs, ageMs: ageBoundMs ?? 0};
		}

		const isPrompt = this.#lookSince === undefined ? this.#wasPrompt : now - this.#lookSince < PROMPT_ANSWER_MS;
		const heldUpMs = isPrompt ? 0 : now - (this.#promptAt ?? Number.NEGATIVE_INFINITY);
		return {ageBoundMs, ageMs: Math.min(heldUpMs, ageBoundMs ?? heldUpMs)};
	}

	/** Finds watches that went silent: the store has a revision that no part has told. */
	async #checkRevision(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await delay(REVISION_CHECK_MS, signal);
			if (signal.aborted) {
				return;
			}

			const revision = await this.#look();
			if (revision === undefined || this.#isSeen(revision)) {
				continue;
			}

			await delay(SILENT_WATCH_MS, signal);
			if (!signal.aborted && !this.#isSeen(revision)) {
				await this.#probe(revision);
			}
		}
	}

	/** @returns the revision that the store had lately, nothing when it did not answer */
	async #look(): Promise<number | undefined> {
		const {clock, source} = this.#options;
		const startedAt = clock.monotonic();
		this.#lookSince = startedAt;
		const result = await source.recentRevision(this.#checked?.part.prefix);
		this.#lookSince = undefined;
		this.#wasPrompt = result.ok && clock.monotonic() - startedAt < PROMPT_ANSWER_MS;
		if (this.#wasPrompt) {
			this.#promptAt = startedAt;
		}

		for (const part of this.#parts) {
			part.noteLook(result.err ? result.val : undefined);
		}

		if (result.err) {
			return undefined;
		}

		if (!this.#checked) {
			this.#times.note(result.val, startedAt - STALE_READ_MS);
		}

		return result.val;
	}

	get #checked(): PartFollower | undefined {
		return this.#parts.find(({part}) => part.name === this.#options.checkedPart);
	}

	#isSeen(revision: number): boolean {
		if (this.#checked) {
			return revision <= this.#checked.state.revision;
		}

		this.#seen.advance(Math.min(...this.#parts.map(part => part.state.revision)));
		return revision <= this.#seen.upTo;
	}

	/** Asks the parts for changes, the bulky ones only when the others do not explain the revision. */
	async #probe(revision: number): Promise<void> {
		const parts = this.#checked ? [this.#checked] : this.#parts;
		for (const isBulky of [false, true]) {
			if (this.#isSeen(revision)) {
				return;
			}

			const known = await Promise.all(parts.filter(({part}) => part.isBulky === isBulky).map(async part => part.probe(revision)));
			if (known.includes(false)) {
				return;
			}
		}

		this.#seen.advance(revision);
	}

	/** Bulky parts are asked for apart from the others, which would wait for them. */
	async #pollPeers(isBulky: boolean, signal: AbortSignal): Promise<void> {
		const {askPeer, random} = this.#options;
		if (!askPeer) {
			return;
		}

		while (!signal.aborted) {
			await delay(PEER_POLL_MS * (0.75 + (random.next() / 2)), signal);
			const away = this.#parts.filter(({part, isReachable, isReceiving}) => part.isBulky === isBulky && !isReachable && !isReceiving);
			if (away.length === 0 || signal.aborted) {
				continue;
			}

			const items = await askPeer(away.map(({state}) => state), isBulky);
			if (items && items.length > 0) {
				this.#log.info('Changes were learned from a peer while the store is away.', {items: items.length});
				this.take(items);
			}
		}
	}
}
