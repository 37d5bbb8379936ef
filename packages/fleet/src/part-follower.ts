/** Follows one part of the store with its own watch. */
import {
	delay, describeError, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import {
	BULKY_PAUSE_FACTOR, BULKY_TIMEOUT_MS, COALESCE_PAUSE_MS, LEASE_EXPIRY_WINDOW_MS, MAX_BULKY_PAUSE_MS, MAX_STORE_RETRY_MS, MAX_WATCH_WAIT_MS,
	MIN_STORE_RETRY_MS, PROBE_WAIT_MS,
} from './constants.js';
import type {ItemLog} from './item-log.js';
import type {RevisionTimes} from './revision-times.js';
import type {
	AnswerTransfer, ItemSource, PartState, StoreItem, StorePart, StoreSnapshot,
} from './types.js';

/** `delivered`: a watch reported the change when it happened. `read`: this process read the item some time after the change. */
export type LearnedBy = 'delivered' | 'read';

export type ItemsListener = (items: readonly StoreItem[], learnedBy: LearnedBy) => void;

export type PartFollowerOptions = {
	readonly part: StorePart;
	readonly source: ItemSource;
	readonly items: ItemLog;
	readonly times: RevisionTimes;
	readonly onItems: ItemsListener;

	/** Whether all changes of the store up to the revision were received, by this part or others. */
	readonly isRevisionSeen: (revision: number) => boolean;

	/** Called after each response, when the part is known up to some revision. */
	readonly onRevisionKnown: () => void;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

export class PartFollower {
	readonly #options: PartFollowerOptions;
	readonly #log: Log;
	#isReachable = false;
	#wasReachableBefore = false;
	#reachableAgainAt = Number.NEGATIVE_INFINITY;

	/** Revision after which the watch continues; undefined while the whole part must be read first. */
	#watchRevision: number | undefined;
	#knownRevision = 0;
	#currentWatch: AbortController | undefined;
	#isReceiving = false;
	#failures = 0;

	constructor(options: PartFollowerOptions) {
		this.#options = options;
		this.#log = options.log;
	}

	get part(): StorePart {
		return this.#options.part;
	}

	get isReachable(): boolean {
		return this.#isReachable;
	}

	/** Whether the part was read at least once. */
	get isInitialized(): boolean {
		return this.#knownRevision > 0;
	}

	/** Whether a response is arriving. Asking a peer meanwhile would only take bandwidth from it. */
	get isReceiving(): boolean {
		return this.#isReceiving;
	}

	/** Whether a removal may be a lease that expired because of a store outage. */
	get mayBeLeaseExpiry(): boolean {
		return !this.#isReachable || this.#options.clock.monotonic() - this.#reachableAgainAt < LEASE_EXPIRY_WINDOW_MS;
	}

	get state(): PartState {
		return this.#options.items.stateOf(this.part.prefix, this.#knownRevision);
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const result = await this.#callStore(signal);
			if (result === undefined) {
				const pauseMs = Math.min(MAX_STORE_RETRY_MS, MIN_STORE_RETRY_MS * (2 ** this.#failures++));
				await delay(pauseMs * (0.5 + this.#options.random.next()), signal);
				continue;
			}

			this.#failures = 0;
			await delay(this.#pauseAfter(result), signal);
			if (this.part.isBulky && result.hasChanges && !signal.aborted) {
				await this.#skipToNewest(signal);
			}
		}
	}

	/**
	Asks the store for changes in a separate call, because the watch may no longer deliver any.

	@param expected a revision that the store had some time ago
	@returns false if the call failed; otherwise all changes up to the expected revision are known or about to arrive
	*/
	async probe(expected: number): Promise<boolean> {
		const {source, metrics} = this.#options;
		const watch = this.#currentWatch;
		const from = this.#watchRevision;
		if (watch === undefined || from === undefined || from >= expected || this.#isReceiving) {
			return true;
		}

		const startedAt = this.#options.clock.monotonic();
		const result = await source.watch(this.part.prefix, {
			afterRevision: from, waitMs: PROBE_WAIT_MS, idleTimeoutMs: this.#timeoutMs, signal: new AbortController().signal,
		});
		if (result.err) {
			if (result.val.kind === 'history-lost') {
				this.#restartAfterLostHistory(from);
				watch.abort();
				return true;
			}

			this.#markUnreachable(result.val);
			return false;
		}

		const hasMissedChanges = this.#currentWatch === watch && !this.#isReceiving && result.val.items.some(({revision}) => revision <= expected);
		this.#processAnswer('probe', result.val, {startedAt, learnedBy: hasMissedChanges ? 'read' : 'delivered'});
		if (hasMissedChanges) {
			this.#log.warn('The store watch did not deliver existing changes; restarting it.', {storePart: this.part.name, watched: from, revision: result.val.revision});
			metrics.count('fleet.silent_watches');
			watch.abort();
		}

		return true;
	}

	/** Takes the outcome of a revision check into account. A part whose own calls fail stays unreachable even if the check succeeds. */
	noteRevisionCheck(error?: unknown): void {
		if (error !== undefined && !this.#isReceiving) {
			this.#markUnreachable(error);
		} else if (error === undefined && this.isInitialized && this.#failures === 0) {
			this.#markReachable();
		}
	}

	#markReachable(): void {
		if (!this.#isReachable) {
			this.#isReachable = true;
			this.#reachableAgainAt = this.#wasReachableBefore ? this.#options.clock.monotonic() : Number.NEGATIVE_INFINITY;
			this.#wasReachableBefore = true;
			this.#log.info('The store answers.', {storePart: this.part.name, revision: this.#knownRevision});
		}
	}

	#markUnreachable(error: unknown): void {
		this.#options.metrics.count('fleet.store_failures');
		if (this.#isReachable) {
			this.#isReachable = false;
			this.#log.warn('The store does not answer; the last known state stays in force.', {storePart: this.part.name, revision: this.#knownRevision, error: describeError(error)});
		}
	}

	get #timeoutMs(): number | undefined {
		return this.part.isBulky ? BULKY_TIMEOUT_MS : undefined;
	}

	#pauseAfter({hasChanges, transfer}: CallOutcome): number {
		return this.part.isBulky && hasChanges ? Math.max(COALESCE_PAUSE_MS, Math.min(MAX_BULKY_PAUSE_MS, transfer.milliseconds * BULKY_PAUSE_FACTOR)) : COALESCE_PAUSE_MS;
	}

	/** Makes the next call. @returns undefined if it failed, for whatever reason, so that it is made again after a pause */
	async #callStore(signal: AbortSignal): Promise<CallOutcome | undefined> {
		try {
			return this.#watchRevision === undefined ? await this.#read() : await this.#watch(this.#watchRevision, signal);
		} catch (error) {
			this.#options.metrics.count('fleet.follow_failures', {part: this.part.name});
			this.#log.error('An answer of the store could not be applied; it is asked for again.', {storePart: this.part.name, error: error instanceof Error ? error.stack : describeError(error)});
			return undefined;
		}
	}

	/** Reads the newest value if the store has changed since the last response, because a watch would deliver all intermediate values, too. */
	async #skipToNewest(signal: AbortSignal): Promise<void> {
		const {source, isRevisionSeen} = this.#options;
		const revision = await source.revision();
		if (revision.err || this.#watchRevision === undefined || revision.val <= this.#watchRevision || isRevisionSeen(revision.val)) {
			return;
		}

		// The change may be in another part, whose watch is about to report it.
		await delay(COALESCE_PAUSE_MS * 2, signal);
		if (!isRevisionSeen(revision.val)) {
			this.#watchRevision = undefined;
		}
	}

	/** Reads the whole part. Known keys that it no longer contains count as removed at the revision of the snapshot. */
	async #read(): Promise<CallOutcome | undefined> {
		const {source, items, clock} = this.#options;
		const {prefix} = this.part;
		const startedAt = clock.monotonic();
		const result = await source.snapshot(prefix, {timeoutMs: this.#timeoutMs});
		if (result.err) {
			this.#markUnreachable(result.val);
			return undefined;
		}

		const {revision} = result.val;
		const present = new Set(result.val.items.map(({key}) => key));
		const removed = items.keys.filter(key => key.startsWith(prefix) && !present.has(key)).map(key => ({key, value: undefined, revision}));
		const known = this.#knownRevision;
		const hasChanges = result.val.items.some(item => item.revision > known);
		this.#processAnswer('snapshot', {...result.val, items: [...result.val.items, ...removed]}, {startedAt, learnedBy: 'read'});
		return {hasChanges, transfer: result.val.transfer};
	}

	async #watch(from: number, signal: AbortSignal): Promise<CallOutcome | undefined> {
		const {source, clock} = this.#options;
		const controller = new AbortController();
		const cancel = (): void => {
			controller.abort();
		};

		signal.addEventListener('abort', cancel, {once: true});
		this.#currentWatch = controller;
		const startedAt = clock.monotonic();
		const result = await source.watch(this.part.prefix, {
			afterRevision: from, waitMs: MAX_WATCH_WAIT_MS, idleTimeoutMs: this.#timeoutMs,
			onResponseStart: () => {
				this.#isReceiving = true;
			},
			signal: controller.signal,
		});
		signal.removeEventListener('abort', cancel);
		this.#currentWatch = undefined;
		this.#isReceiving = false;
		if (result.ok) {
			// An empty response after the full wait shows that nothing changed until the wait ended.
			const isWholeWait = result.val.items.length === 0 && clock.monotonic() - startedAt >= MAX_WATCH_WAIT_MS;
			this.#processAnswer('watch', result.val, {startedAt: startedAt + (isWholeWait ? MAX_WATCH_WAIT_MS : 0), learnedBy: 'delivered'});
			return {hasChanges: result.val.items.length > 0, transfer: result.val.transfer};
		}

		if (result.val.kind === 'history-lost') {
			this.#restartAfterLostHistory(from);
			return {hasChanges: false, transfer: {bytes: 0, milliseconds: 0}};
		}

		if (!controller.signal.aborted) {
			this.#markUnreachable(result.val);
			if (this.part.isBulky) {
				// The missed changes may exceed the size limit of a response, and only the newest value matters.
				this.#watchRevision = undefined;
			}

			return undefined;
		}

		return {hasChanges: false, transfer: {bytes: 0, milliseconds: 0}};
	}

	#restartAfterLostHistory(from: number): void {
		this.#log.warn('The store no longer keeps the changes since the last watch; reading the whole part again.', {storePart: this.part.name, revision: from});
		this.#watchRevision = undefined;
	}

	#processAnswer(call: string, answer: StoreSnapshot, {startedAt, learnedBy}: {readonly startedAt: number; readonly learnedBy: LearnedBy}): void {
		const {clock, metrics, times, onItems, onRevisionKnown} = this.#options;
		const {items, revision, transfer} = answer;
		const labels = {part: this.part.name, call};
		this.#markReachable();
		metrics.count('fleet.store_bytes', labels, transfer.bytes);
		if (items.some(item => item.revision > this.#knownRevision)) {
			metrics.timing('fleet.store_transfer_ms', transfer.milliseconds, labels);
			this.#log.info('Received changes from the store.', {
				storePart: this.part.name, call, items: items.length, revision, bytes: transfer.bytes, transferMs: Math.round(transfer.milliseconds), callMs: Math.round(clock.monotonic() - startedAt),
			});
		}

		onItems(items, learnedBy);
		times.record(revision, startedAt);
		this.#knownRevision = Math.max(this.#knownRevision, revision);
		this.#watchRevision = this.#knownRevision;
		onRevisionKnown();
	}
}

type CallOutcome = {readonly hasChanges: boolean; readonly transfer: AnswerTransfer};
