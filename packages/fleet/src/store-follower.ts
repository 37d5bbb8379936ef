/** Follows the platform's store, each part by a watch of its own, and the peers while the store cannot be reached. */
import {
	delay, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import {
	PEER_POLL_INTERVAL_MS, MAX_PROMPT_ANSWER_MS, REVISION_CHECK_INTERVAL_MS, WATCH_DELIVERY_TIMEOUT_MS, MAX_READ_STALENESS_MS,
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
	readonly #seenRevisions = new SeenRevisions();

	/** When the last look that was answered promptly was sent: news was not held up until then. */
	#lastPromptCheckAt: number | undefined;
	#wasLastCheckPrompt = true;
	#runningCheckStartedAt: number | undefined;

	constructor(options: StoreFollowerOptions) {
		const {clock, source, random, metrics} = options;
		this.#options = options;
		this.#log = options.log.part('store');
		this.items = new ItemLog({clock});
		this.#parts = options.parts.map(part => new PartFollower({
			part, source, items: this.items, times: this.#times, clock, random, log: this.#log, metrics,
			onItems: (items, learnedBy) => {
				this.#applyItems(items, learnedBy);
			},
			isRevisionSeen: revision => this.#isRevisionSeen(revision),
			onRevisionKnown: () => {
				if (this.#parts.every(({part, isInitialized: isKnown}) => part.isBulky || isKnown)) {
					this.#options.view.markCurrent();
				}
			},
		}));
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([...this.#parts.map(async part => part.run(signal)), this.#checkRevisions(signal), this.#pollPeers(false, signal), this.#pollPeers(true, signal)]);
	}

	/** Takes items that were read elsewhere: from a peer, or from a part that is not followed. */
	take(items: readonly StoreItem[]): void {
		this.#applyItems(items, 'read');
	}

	#applyItems(items: readonly StoreItem[], learnedBy: LearnedBy): void {
		const {decoder, view, metrics} = this.#options;
		const newest = new Map(items.map(item => [item.key, item]));
		for (const {revision} of this.#checkedPart ? [] : items) {
			this.#seenRevisions.add(revision);
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
			view.apply(decoded.val, {revision: item.revision, mayBeLapse: this.#mayBeLeaseExpiry, ...this.#estimateAges(item, {part, learnedBy})});
		}
	}

	/** Whether a removal may come from an outage of the store, which the watch of the removed item need not have noticed. A bulky part may fail for its size alone. */
	get #mayBeLeaseExpiry(): boolean {
		return this.#parts.some(({part, mayBeLeaseExpiry: mayBeLapse}) => !part.isBulky && mayBeLapse);
	}

	#partOf(key: string): PartFollower | undefined {
		return this.#parts.find(({part}) => key.startsWith(part.prefix));
	}

	#estimateAges({revision}: StoreItem, {part, learnedBy}: {readonly part: PartFollower | undefined; readonly learnedBy: LearnedBy}): {readonly ageBoundMs?: number; readonly ageMs?: number} {
		const now = this.#options.clock.monotonic();
		const notWrittenAt = this.#times.notWrittenAt(revision);
		const ageBoundMs = notWrittenAt === undefined ? undefined : now - notWrittenAt;
		if (!part?.isInitialized) {
			return {ageBoundMs};
		}

		if (learnedBy === 'read') {
			return {ageBoundMs, ageMs: ageBoundMs ?? 0};
		}

		const isPrompt = this.#runningCheckStartedAt === undefined ? this.#wasLastCheckPrompt : now - this.#runningCheckStartedAt < MAX_PROMPT_ANSWER_MS;
		const heldUpMs = isPrompt ? 0 : now - (this.#lastPromptCheckAt ?? Number.NEGATIVE_INFINITY);
		return {ageBoundMs, ageMs: Math.min(heldUpMs, ageBoundMs ?? heldUpMs)};
	}

	/** Finds watches that went silent: the store has a revision that no part has told. */
	async #checkRevisions(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await delay(REVISION_CHECK_INTERVAL_MS, signal);
			if (signal.aborted) {
				return;
			}

			const revision = await this.#readRecentRevision();
			if (revision === undefined || this.#isRevisionSeen(revision)) {
				continue;
			}

			await delay(WATCH_DELIVERY_TIMEOUT_MS, signal);
			if (!signal.aborted && !this.#isRevisionSeen(revision)) {
				await this.#probeParts(revision);
			}
		}
	}

	/** @returns the revision that the store had lately, nothing when it did not answer */
	async #readRecentRevision(): Promise<number | undefined> {
		const {clock, source} = this.#options;
		const startedAt = clock.monotonic();
		this.#runningCheckStartedAt = startedAt;
		const result = await source.recentRevision(this.#checkedPart?.part.prefix);
		this.#runningCheckStartedAt = undefined;
		this.#wasLastCheckPrompt = result.ok && clock.monotonic() - startedAt < MAX_PROMPT_ANSWER_MS;
		if (this.#wasLastCheckPrompt) {
			this.#lastPromptCheckAt = startedAt;
		}

		for (const part of this.#parts) {
			part.noteRevisionCheck(result.err ? result.val : undefined);
		}

		if (result.err) {
			return undefined;
		}

		if (!this.#checkedPart) {
			this.#times.note(result.val, startedAt - MAX_READ_STALENESS_MS);
		}

		return result.val;
	}

	get #checkedPart(): PartFollower | undefined {
		return this.#parts.find(({part}) => part.name === this.#options.checkedPart);
	}

	#isRevisionSeen(revision: number): boolean {
		if (this.#checkedPart) {
			return revision <= this.#checkedPart.state.revision;
		}

		this.#seenRevisions.advance(Math.min(...this.#parts.map(part => part.state.revision)));
		return revision <= this.#seenRevisions.upTo;
	}

	/** Asks the parts for changes, the bulky ones only when the others do not explain the revision. */
	async #probeParts(revision: number): Promise<void> {
		const parts = this.#checkedPart ? [this.#checkedPart] : this.#parts;
		for (const isBulky of [false, true]) {
			if (this.#isRevisionSeen(revision)) {
				return;
			}

			const known = await Promise.all(parts.filter(({part}) => part.isBulky === isBulky).map(async part => part.probe(revision)));
			if (known.includes(false)) {
				return;
			}
		}

		this.#seenRevisions.advance(revision);
	}

	/** Bulky parts are asked for apart from the others, which would wait for them. */
	async #pollPeers(isBulky: boolean, signal: AbortSignal): Promise<void> {
		const {askPeer, random} = this.#options;
		if (!askPeer) {
			return;
		}

		while (!signal.aborted) {
			await delay(PEER_POLL_INTERVAL_MS * (0.75 + (random.next() / 2)), signal);
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
