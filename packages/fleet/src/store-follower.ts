/** Follows the platform's store with one watch per part, and asks peers for changes while the store cannot be reached. */
import {
	describeError, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import {
	CHECK_INTERVAL_MS, MAX_PROMPT_ANSWER_MS, STALLED_ANSWER_MS, WATCH_DELIVERY_TIMEOUT_MS,
} from './constants.js';
import type {FleetView} from './fleet-view.js';
import {ItemLog} from './item-log.js';
import {PartFollower} from './part-follower.js';
import type {LearnedBy} from './part-follower-options.js';
import {RevisionTimes} from './revision-times.js';
import type {PeerAnswer, PeerQuestion} from './peer-items.js';
import {pollPeers, type AskPeer} from './peer-poll.js';
import {RewriteGrace} from './rewrite-grace.js';
import {SeenRevisions} from './seen-revisions.js';
import {StoreCheck, type CheckResult} from './store-check.js';
import {StoreReachability} from './store-reachability.js';
import type {
	ItemSource, StoreItem, StorePart,
} from './item-source.js';
import type {Announcement, ItemDecoder} from './types.js';

export type StoreFollowerOptions = {
	readonly source: ItemSource;
	readonly decoder: ItemDecoder;
	readonly view: FleetView;

	/** Parts of the store that this process follows. */
	readonly parts: readonly StorePart[];

	/** Name of the small part whose watch is checked for missed changes; undefined when the process follows the whole store. */
	readonly checkedPart?: string;
	readonly askPeer?: AskPeer;

	/**
	Interval of the checks that this process still hears from the store, in milliseconds. A change that no watch delivers comes
	into force about 0.8 s later than this.
	*/
	readonly checkIntervalMs?: number;
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
	readonly #reachability: StoreReachability;
	readonly #check: StoreCheck;

	readonly #rewriteGrace: RewriteGrace;

	/** Start of the last check with a prompt response. Until then the path to the store did not delay updates. */
	#lastPromptCheckAt: number | undefined;

	constructor(options: StoreFollowerOptions) {
		const {
			clock, source, random, metrics, checkIntervalMs = CHECK_INTERVAL_MS,
		} = options;
		this.#options = options;
		this.#log = options.log.part('store');
		this.items = new ItemLog({clock});
		this.#rewriteGrace = new RewriteGrace({...options, log: this.#log, items: this.items});
		this.#reachability = new StoreReachability({clock, log: this.#log, metrics});
		this.#check = new StoreCheck({
			source, clock, random, intervalMs: checkIntervalMs, prefix: options.parts.find(({name}) => name === options.checkedPart)?.prefix,
			onAnswer: result => {
				this.#applyCheck(result);
			},
			onUnreachable: error => {
				this.#reachability.recordFailure(error);
			},
			onError: error => {
				this.#recordFailedRound('check', error);
			},
		});
		this.#parts = options.parts.map(part => new PartFollower({
			part, source, items: this.items, times: this.#times, clock, random, log: this.#log, metrics,
			onItems: (items, learnedBy) => {
				this.#applyItems(items, learnedBy);
			},
			isRevisionSeen: revision => this.#isRevisionSeen(revision),
			onCallFailed: async error => {
				this.#log.info('A call to the store failed.', {storePart: part.name, error: describeError(error)});
				return this.#reachability.isLost ? false : this.#check.check();
			},
			onRevisionKnown: () => {
				this.#recordAnswer();
				if (this.#parts.every(({part, isInitialized}) => part.isBulky || isInitialized)) {
					this.#options.view.markInitialized();
				}
			},
		}));
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		// The first check opens its connection before those of the watches: it dies with them.
		const checking = this.#check.run(signal);
		await Promise.all([checking, ...this.#parts.map(async part => part.run(signal)), ...this.#pollPeers(signal)]);
	}

	/** Whether the state of a part was learned, from the store or from a peer that knew it. */
	knows({name}: StorePart): boolean {
		return this.#parts.some(({part, isKnown}) => part.name === name && isKnown);
	}

	answerPeer({parts, wantsKnown = false}: PeerQuestion): PeerAnswer | readonly StoreItem[] {
		const items = parts.flatMap(part => this.items.changesSince(part));
		return wantsKnown ? {items, known: this.#parts.filter(({isKnown}) => isKnown).map(({part}) => part.prefix)} : items;
	}

	/** Applies items from another source: from a peer, or from a part that is not followed. */
	take(items: readonly StoreItem[]): void {
		this.#applyItems(items, 'read');
	}

	#applyItems(items: readonly StoreItem[], learnedBy: LearnedBy): void {
		if (learnedBy === 'copied') {
			this.#rewriteGrace.begin(this.#parts);
		}

		const {decoder, view, metrics} = this.#options;
		const newest = new Map(items.map(item => [item.key, item]));
		for (const {revision} of this.#checkedPart ? [] : items) {
			this.#seenRevisions.add(revision);
		}

		for (const item of items) {
			const part = this.#partOf(item.key);
			const isSkipped = newest.get(item.key) !== item && !part?.part.needsEachValue;
			if (isSkipped || (learnedBy === 'copied' && this.#rewriteGrace.holdsBack(item)) || !this.items.record(item)) {
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
				const isRemoved = item.value === undefined;
				const leaseGraceMs = isRemoved ? this.#reachability.leaseGraceMs : 0;
				view.apply(announcement, {
					revision: item.revision, isRemoved, mayBeLeaseExpiry: leaseGraceMs > 0, leaseGraceMs, isDelivered: learnedBy === 'delivered', sinceUnreachableMs: this.#reachability.sinceUnreachableMs,
					...this.#estimateAges(item, {part, learnedBy}),
				});
			}
		}
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

		if (learnedBy !== 'delivered') {
			return {ageBoundMs, ageMs: ageBoundMs ?? 0};
		}

		const maxDelayMs = now - (this.#lastPromptCheckAt ?? Number.NEGATIVE_INFINITY);
		return {ageBoundMs, ageMs: Math.min(maxDelayMs, ageBoundMs ?? maxDelayMs)};
	}

	#applyCheck({revision, startedAt, durationMs, mayBeSilent}: CheckResult): void {
		if (durationMs < MAX_PROMPT_ANSWER_MS) {
			this.#lastPromptCheckAt = startedAt;
			for (const part of this.#parts) {
				part.giveUpStalledAnswer(STALLED_ANSWER_MS);
			}
		}

		if (!this.#checkedPart) {
			this.#times.record(revision, startedAt);
		}

		if (mayBeSilent) {
			this.#renew('a check got no answer on its connection');
		}

		this.#recordAnswer();
		this.#expectDelivery(revision);
	}

	/** Replaces the connections of the watches unless these deliver the revision soon. */
	#expectDelivery(revision: number): void {
		if (this.#isRevisionSeen(revision)) {
			return;
		}

		setTimeout(() => {
			if (!this.#isRevisionSeen(revision) && this.#checkedParts.some(({isCatchingUp, state}) => !isCatchingUp && state.revision < revision)) {
				this.#renew('a change was not delivered');
			}
		}, WATCH_DELIVERY_TIMEOUT_MS).unref();
	}

	/** Moves all calls to new connections. Watches on older ones may not deliver changes any more. */
	#renew(reason: string): void {
		const {source, metrics} = this.#options;
		this.#log.info('The connections to the store are replaced.', {reason});
		metrics.count('fleet.renewed_connections', {reason});
		source.renewConnections();
		for (const part of this.#parts) {
			part.restart();
		}
	}

	#recordAnswer(): void {
		if (!this.#reachability.recordAnswer()) {
			return;
		}

		for (const part of this.#parts) {
			if (part.isInitialized) {
				part.restart();
			} else {
				part.endPause();
			}
		}
	}

	/** An error of one round must not end its loop. */
	#recordFailedRound(round: string, error: unknown): void {
		this.#options.metrics.count('fleet.follow_failures', {round});
		this.#log.error('A round failed; the next one follows.', {round, error: error instanceof Error ? error.stack : describeError(error)});
	}

	get #checkedPart(): PartFollower | undefined {
		return this.#parts.find(({part}) => part.name === this.#options.checkedPart);
	}

	get #checkedParts(): readonly PartFollower[] {
		return this.#checkedPart ? [this.#checkedPart] : this.#parts;
	}

	#isRevisionSeen(revision: number): boolean {
		const revisionOfAll = Math.min(...this.#checkedParts.map(({state}) => state.revision));
		if (this.#checkedPart) {
			return revision <= revisionOfAll;
		}

		this.#seenRevisions.advanceTo(revisionOfAll);
		return revision <= this.#seenRevisions.seenUpTo;
	}

	/** Bulky parts have calls of their own, so that they don't delay the others. */
	#pollPeers(signal: AbortSignal): ReadonlyArray<Promise<void>> {
		const {askPeer, random, metrics} = this.#options;
		return askPeer
			? [false, true].map(async isBulky => pollPeers({
				askPeer, random, log: this.#log, metrics, isBulky, parts: this.#parts,
				isStoreAway: () => !this.#reachability.isReachable,
				onItems: items => {
					this.take(items);
				},
				onError: error => {
					this.#recordFailedRound('peer poll', error);
				},
			}, signal))
			: [];
	}
}
