/** Follows the platform's store with one watch per part, and asks peers for changes while the store cannot be reached. */
import {
	delay, describeError, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import {
	MAX_PROMPT_ANSWER_MS, MAX_READ_STALENESS_MS, PEER_POLL_INTERVAL_MS, REVISION_CHECK_INTERVAL_MS, WATCH_DELIVERY_TIMEOUT_MS,
} from './constants.js';
import type {FleetView} from './fleet-view.js';
import {ItemLog} from './item-log.js';
import {PartFollower, type LearnedBy} from './part-follower.js';
import {RevisionTimes} from './revision-times.js';
import {itemsOfPeer} from './peer-items.js';
import {SeenRevisions} from './seen-revisions.js';
import type {
	Announcement, ItemDecoder, ItemSource, PartState, StoreItem, StorePart,
} from './types.js';

/** Asks a peer for the missing items of these parts, which are either all bulky or all not. Resolves to undefined when no peer responded, otherwise to its answer, whose type is not checked. */
export type AskPeer = (parts: readonly PartState[], isBulky: boolean) => Promise<unknown>;

export type StoreFollowerOptions = {
	readonly source: ItemSource;
	readonly decoder: ItemDecoder;
	readonly view: FleetView;

	/** Parts of the store that this process follows. */
	readonly parts: readonly StorePart[];

	/** Name of the small part whose watch is checked for missed changes; undefined when the process follows the whole store. */
	readonly checkedPart?: string;
	readonly askPeer?: AskPeer;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/**
What an unreadable item leaves of its key: an entry of a list names no process any more, as if it had been removed. Anything
else keeps its last valid state.
*/
const withdrawalOf = ({key, revision}: StoreItem, decoder: ItemDecoder): Announcement | undefined => {
	const removal = decoder.decode({key, value: undefined, revision});
	return removal.ok && (removal.val.kind === 'upstream' || removal.val.kind === 'entry') ? removal.val : undefined;
};

export class StoreFollower {
	readonly items: ItemLog;
	readonly #options: StoreFollowerOptions;
	readonly #log: Log;
	readonly #parts: readonly PartFollower[];
	readonly #times = new RevisionTimes();
	readonly #seenRevisions = new SeenRevisions();

	/** Start of the last revision check with a prompt response. Until then the path to the store did not delay updates. */
	#lastPromptCheckAt: number | undefined;

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
				if (this.#parts.every(({part, isInitialized}) => part.isBulky || isInitialized)) {
					this.#options.view.markInitialized();
				}
			},
		}));
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([...this.#parts.map(async part => part.run(signal)), this.#checkRevisions(signal), this.#pollPeers(false, signal), this.#pollPeers(true, signal)]);
	}

	/** Applies items from another source: from a peer, or from a part that is not followed. */
	take(items: readonly StoreItem[]): void {
		this.#applyItems(items, 'read');
	}

	#applyItems(items: readonly StoreItem[], learnedBy: LearnedBy): void {
		const {decoder, view, metrics} = this.#options;
		const newest = new Map(items.map(item => [item.key, item]));
		for (const {revision} of this.#checkedPart ? [] : items) {
			this.#seenRevisions.add(revision);
		}

		for (const item of items) {
			const part = this.#partOf(item.key);
			const isSkipped = newest.get(item.key) !== item && !part?.part.needsEachValue;
			if (isSkipped || !this.items.record(item)) {
				continue;
			}

			const decoded = decoder.decode(item);
			if (decoded.err) {
				metrics.count('fleet.unreadable_items');
				this.#log.warn('A store item could not be decoded and was ignored; check its content.', {key: item.key, revision: item.revision, error: decoded.val.message});
			}

			const announcement = decoded.ok ? decoded.val : withdrawalOf(item, decoder);
			if (announcement) {
				// A lease that expires removes its items.
				const mayBeLeaseExpiry = item.value === undefined && this.#mayBeLeaseExpiry;
				view.apply(announcement, {revision: item.revision, mayBeLeaseExpiry, ...this.#estimateAges(item, {part, learnedBy})});
			}
		}
	}

	/**
	Whether a removal may be a lease that expired because of a store outage. All parts count, because the watch that reports
	the removal may not have noticed the outage; except bulky parts, which may fail because of their size alone.
	*/
	get #mayBeLeaseExpiry(): boolean {
		return this.#parts.some(({part, mayBeLeaseExpiry}) => !part.isBulky && mayBeLeaseExpiry);
	}

	#partOf(key: string): PartFollower | undefined {
		return this.#parts.find(({part}) => key.startsWith(part.prefix));
	}

	/**
	Estimates how long the item has been in the store, in milliseconds. For a change delivered by a watch, this is at most the
	time since the last prompt revision check, because until then the path to the store did not delay updates. Since then it
	may have, without having been noticed.
	*/
	#estimateAges({revision}: StoreItem, {part, learnedBy}: {readonly part: PartFollower | undefined; readonly learnedBy: LearnedBy}): {readonly ageBoundMs?: number; readonly ageMs?: number} {
		const now = this.#options.clock.monotonic();
		const latestAbsentAt = this.#times.latestTimeBefore(revision);
		const ageBoundMs = latestAbsentAt === undefined ? undefined : now - latestAbsentAt;
		if (!part?.isInitialized) {
			return {ageBoundMs};
		}

		if (learnedBy === 'read') {
			return {ageBoundMs, ageMs: ageBoundMs ?? 0};
		}

		const maxDelayMs = now - (this.#lastPromptCheckAt ?? Number.NEGATIVE_INFINITY);
		return {ageBoundMs, ageMs: Math.min(maxDelayMs, ageBoundMs ?? maxDelayMs)};
	}

	/** Detects watches that no longer deliver changes: the store has a revision that no part has received. */
	async #checkRevisions(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await delay(REVISION_CHECK_INTERVAL_MS, signal);
			if (signal.aborted) {
				return;
			}

			await this.#attempt('revision check', async () => this.#checkRevision(signal));
		}
	}

	async #checkRevision(signal: AbortSignal): Promise<void> {
		const revision = await this.#readRecentRevision();
		if (revision === undefined || this.#isRevisionSeen(revision)) {
			return;
		}

		await delay(WATCH_DELIVERY_TIMEOUT_MS, signal);
		if (!signal.aborted && !this.#isRevisionSeen(revision)) {
			await this.#probeParts(revision);
		}
	}

	/** Runs one round of a loop. An error must not end the loop. */
	async #attempt(round: string, run: () => Promise<void>): Promise<void> {
		const {metrics} = this.#options;
		try {
			await run();
		} catch (error) {
			metrics.count('fleet.follow_failures', {round});
			this.#log.error('A round failed; the next one follows.', {round, error: error instanceof Error ? error.stack : describeError(error)});
		}
	}

	/** @returns a recent revision of the store; undefined when the call failed */
	async #readRecentRevision(): Promise<number | undefined> {
		const {clock, source} = this.#options;
		const startedAt = clock.monotonic();
		const result = await source.recentRevision(this.#checkedPart?.part.prefix);
		if (result.ok && clock.monotonic() - startedAt < MAX_PROMPT_ANSWER_MS) {
			this.#lastPromptCheckAt = startedAt;
		}

		for (const part of this.#parts) {
			part.noteRevisionCheck(result.err ? result.val : undefined);
		}

		if (result.err) {
			return undefined;
		}

		if (!this.#checkedPart) {
			this.#times.record(result.val, startedAt - MAX_READ_STALENESS_MS);
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

		this.#seenRevisions.advanceTo(Math.min(...this.#parts.map(part => part.state.revision)));
		return revision <= this.#seenRevisions.seenUpTo;
	}

	/** Asks the parts for missed changes, the bulky ones only when the revision is not found in the others. */
	async #probeParts(revision: number): Promise<void> {
		const parts = this.#checkedPart ? [this.#checkedPart] : this.#parts;
		for (const isBulky of [false, true]) {
			if (this.#isRevisionSeen(revision)) {
				return;
			}

			const outcomes = await Promise.all(parts.filter(({part}) => part.isBulky === isBulky).map(async part => part.probe(revision)));
			if (outcomes.includes(false)) {
				return;
			}
		}

		this.#seenRevisions.advanceTo(revision);
	}

	/** Asks peers for the changes of unreachable parts. Bulky parts have calls of their own, so that they don't delay the others. */
	async #pollPeers(isBulky: boolean, signal: AbortSignal): Promise<void> {
		const {askPeer, random} = this.#options;
		if (!askPeer) {
			return;
		}

		while (!signal.aborted) {
			await delay(PEER_POLL_INTERVAL_MS * (0.75 + (random.next() / 2)), signal);
			const unreachable = this.#parts.filter(({part, isReachable, isReceiving}) => part.isBulky === isBulky && !isReachable && !isReceiving);
			if (unreachable.length === 0 || signal.aborted) {
				continue;
			}

			await this.#attempt('peer poll', async () => {
				const states = unreachable.map(({state}) => state);
				this.#takeFromPeer(await askPeer(states, isBulky), states);
			});
		}
	}

	#takeFromPeer(answer: unknown, parts: readonly PartState[]): void {
		const {items, unreadable} = itemsOfPeer(answer, parts);
		if (unreadable > 0) {
			this.#options.metrics.count('fleet.unreadable_items', {}, unreadable);
			this.#log.warn('A peer sent items that cannot be read; they were ignored.', {items: unreadable});
		}

		if (items.length > 0) {
			this.#log.info('Changes were learned from a peer while the store is away.', {items: items.length});
			this.take(items);
		}
	}
}
