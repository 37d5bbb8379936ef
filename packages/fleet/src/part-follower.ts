/** Follows one part of the store with its own watch. */
import {delay, describeError, type Log} from '@yuccawood/common';
import type {PlatformError} from '@yuccawood/interfaces';
import {
	BULKY_PAUSE_FACTOR, BULKY_TIMEOUT_MS, COALESCE_PAUSE_MS, LOOK_WAIT_MS, MAX_BULKY_PAUSE_MS, MAX_STORE_RETRY_MS, MAX_WATCH_WAIT_MS,
	MIN_ACCEPTED_WATCH_MS, MIN_STORE_RETRY_MS,
} from './constants.js';
import type {LearnedBy, PartFollowerOptions} from './part-follower-options.js';
import type {
	AnswerTransfer, PartState, StorePart, StoreSnapshot,
} from './item-source.js';

export class PartFollower {
	readonly #options: PartFollowerOptions;
	readonly #log: Log;

	/** Revision after which the watch continues; undefined while the whole part must be read first. */
	#watchRevision: number | undefined;
	#knownRevision = 0;
	#call: AbortController | undefined;

	/** Monotonic milliseconds at which the last data of the present answer arrived; undefined while none is arriving. */
	#lastDataAt: number | undefined;

	/** Whether the next watch only asks for changes that exist already. */
	#mustLook = false;
	#pause = new AbortController();
	#isSettling = false;
	#isToldByPeer = false;
	#failures = 0;

	/** Whether the store answered other calls after the last failure. */
	#isAnswering = false;

	constructor(options: PartFollowerOptions) {
		this.#options = options;
		this.#log = options.log;
	}

	get part(): StorePart {
		return this.#options.part;
	}

	/** Whether the part's own calls fail. */
	get isFailing(): boolean {
		return this.#failures > 1;
	}

	/** Whether the part was read at least once. */
	get isInitialized(): boolean {
		return this.#knownRevision > 0;
	}

	/** Whether its state was learned, from the store or from a peer that knew it. */
	get isKnown(): boolean {
		return this.isInitialized || this.#isToldByPeer;
	}

	/** Records that a peer that knew the whole part has told it. */
	recordToldByPeer(): void {
		this.#isToldByPeer = true;
	}

	/** Whether a response is arriving. Asking a peer meanwhile would only take bandwidth from it. */
	get isReceiving(): boolean {
		return this.#lastDataAt !== undefined;
	}

	/** Whether changes that exist already are being received, or asked for next. */
	get isCatchingUp(): boolean {
		return !this.isInitialized || this.isReceiving || this.#isSettling;
	}

	get state(): PartState {
		return this.#options.items.stateOf(this.part.prefix, this.#knownRevision);
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#options;
		const cancel = (): void => {
			this.#call?.abort();
			this.#pause.abort();
		};

		signal.addEventListener('abort', cancel, {once: true});
		while (!signal.aborted) {
			const startedAt = clock.monotonic();
			const outcome = await this.#callStore();
			if (outcome === 'interrupted') {
				continue;
			}

			if (outcome === 'failed') {
				const wasAccepted = clock.monotonic() - startedAt >= MIN_ACCEPTED_WATCH_MS;
				this.#failures = wasAccepted && this.#isAnswering ? 1 : this.#failures + 1;
				await this.#rest(Math.min(MAX_STORE_RETRY_MS, MIN_STORE_RETRY_MS * (2 ** (this.#failures - 1))) * (0.5 + random.next()), signal);
				continue;
			}

			this.#failures = 0;
			this.#isSettling = outcome.hasChanges;
			await this.#rest(this.#pauseAfter(outcome), signal);
			if (this.part.isBulky && outcome.hasChanges && !signal.aborted) {
				await this.#skipToNewest(signal);
			}

			this.#isSettling = false;
		}

		signal.removeEventListener('abort', cancel);
	}

	/** Ends a wait for changes, or a pause, and asks at once for changes that exist already. An answer that is arriving goes on. */
	restart(): void {
		if (this.isReceiving) {
			return;
		}

		this.#mustLook = true;
		this.#call?.abort();
		this.endPause();
	}

	/** Reads the whole part again. */
	reread(): void {
		this.#watchRevision = undefined;
		this.restart();
	}

	/** Makes the next call at once. */
	endPause(): void {
		this.#pause.abort();
	}

	/** Asks again if an answer has begun to arrive and nothing more came for this time, in milliseconds. */
	giveUpStalledAnswer(idleMs: number): void {
		const {clock, metrics} = this.#options;
		if (this.#lastDataAt === undefined || clock.monotonic() - this.#lastDataAt < idleMs) {
			return;
		}

		this.#log.warn('An answer of the store stalls while other calls are answered; asking again.', {storePart: this.part.name, revision: this.#knownRevision});
		metrics.count('fleet.stalled_answers');
		this.#lastDataAt = undefined;
		this.restart();
	}

	async #rest(milliseconds: number, signal: AbortSignal): Promise<void> {
		this.#pause = new AbortController();
		await delay(signal.aborted ? 0 : milliseconds, this.#pause.signal);
	}

	get #timeoutMs(): number | undefined {
		return this.part.isBulky ? BULKY_TIMEOUT_MS : undefined;
	}

	#pauseAfter({hasChanges, transfer}: Answer): number {
		return this.part.isBulky && hasChanges ? Math.max(COALESCE_PAUSE_MS, Math.min(MAX_BULKY_PAUSE_MS, transfer.milliseconds * BULKY_PAUSE_FACTOR)) : COALESCE_PAUSE_MS;
	}

	/** Makes the next call. */
	async #callStore(): Promise<CallOutcome> {
		const call = new AbortController();
		this.#call = call;
		try {
			const result = await (this.#watchRevision === undefined ? this.#read(call.signal) : this.#watch(this.#watchRevision, call.signal));
			return result;
		} catch (error) {
			this.#options.metrics.count('fleet.follow_failures', {part: this.part.name});
			this.#log.error('An answer of the store could not be applied; it is asked for again.', {storePart: this.part.name, error: error instanceof Error ? error.stack : describeError(error)});
			return 'failed';
		} finally {
			this.#call = undefined;
			this.#lastDataAt = undefined;
		}
	}

	readonly #recordProgress = (): void => {
		this.#lastDataAt = this.#options.clock.monotonic();
	};

	async #outcomeOfFailure(error: PlatformError, signal: AbortSignal): Promise<'failed' | 'interrupted'> {
		if (signal.aborted) {
			return 'interrupted';
		}

		this.#isAnswering = await this.#options.onCallFailed(error);
		const wasRestarted = this.#mustLook;
		this.#mustLook = true;
		return wasRestarted && this.#isAnswering ? 'interrupted' : 'failed';
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
	async #read(signal: AbortSignal): Promise<CallOutcome> {
		const {source, items, clock} = this.#options;
		const {prefix} = this.part;
		const startedAt = clock.monotonic();
		const result = await source.snapshot(prefix, {timeoutMs: this.#timeoutMs, onProgress: this.#recordProgress, signal});
		if (result.err) {
			return this.#outcomeOfFailure(result.val, signal);
		}

		const {revision} = result.val;
		const present = new Set(result.val.items.map(({key}) => key));
		const removed = items.keys.filter(key => key.startsWith(prefix) && !present.has(key)).map(key => ({key, value: undefined, revision}));
		const known = this.#knownRevision;
		const hasChanges = result.val.items.some(item => item.revision > known);
		const isCopy = known > 0 && (source.eraOf?.(revision) ?? 0) > (source.eraOf?.(known) ?? 0);
		this.#processAnswer('snapshot', {...result.val, items: [...result.val.items, ...removed]}, {startedAt, learnedBy: isCopy ? 'copied' : 'read'});
		return {hasChanges, transfer: result.val.transfer};
	}

	async #watch(from: number, signal: AbortSignal): Promise<CallOutcome> {
		const {source, clock, metrics} = this.#options;
		const isLook = this.#mustLook;
		const waitMs = isLook ? LOOK_WAIT_MS : MAX_WATCH_WAIT_MS;
		this.#mustLook = false;
		const startedAt = clock.monotonic();
		const result = await source.watch(this.part.prefix, {
			afterRevision: from, waitMs, idleTimeoutMs: this.#timeoutMs, onProgress: this.#recordProgress, signal,
		});
		if (result.ok) {
			const hasChanges = result.val.items.length > 0;
			if (isLook && hasChanges) {
				this.#log.warn('A watch of the store did not deliver existing changes.', {storePart: this.part.name, watched: from, revision: result.val.revision});
				metrics.count('fleet.silent_watches');
			}

			// An empty response after the full wait shows that nothing changed until the wait ended.
			const isWholeWait = !hasChanges && clock.monotonic() - startedAt >= waitMs;
			this.#processAnswer(isLook ? 'look' : 'watch', result.val, {startedAt: startedAt + (isWholeWait ? waitMs : 0), learnedBy: isLook ? 'read' : 'delivered'});
			return {hasChanges, transfer: result.val.transfer};
		}

		if (result.val.kind === 'history-lost') {
			this.#log.warn('The store no longer keeps the changes since the last watch; reading the whole part again.', {storePart: this.part.name, revision: from});
			this.#watchRevision = undefined;
			return 'interrupted';
		}

		if (this.part.isBulky && !signal.aborted) {
			// The missed changes may exceed the size limit of a response, and only the newest value matters.
			this.#watchRevision = undefined;
		}

		return this.#outcomeOfFailure(result.val, signal);
	}

	#processAnswer(call: string, answer: StoreSnapshot, {startedAt, learnedBy}: {readonly startedAt: number; readonly learnedBy: LearnedBy}): void {
		const {clock, metrics, times, onItems, onRevisionKnown} = this.#options;
		const {items, revision, transfer} = answer;
		const labels = {part: this.part.name, call};
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

type Answer = {readonly hasChanges: boolean; readonly transfer: AnswerTransfer};

/** `interrupted`: the call is to be made again at once. */
type CallOutcome = Answer | 'failed' | 'interrupted';
