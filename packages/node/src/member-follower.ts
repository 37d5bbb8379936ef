/**
Keeps an agent's list of upstreams current while a rollout needs it. Reads the whole list once, and then only changes.

A rollout, or a restart after a power failure, makes all agents read the list at the same time. It contains every upstream
of the fleet, so repeated full reads would saturate the links between regions and delay the transfer of pieces.
*/
import type {Clock, Log} from '@yuccawood/common';
import type {FleetView, StoreFollower} from '@yuccawood/fleet';
import {UPSTREAM_PREFIX, type StoreClient} from '@yuccawood/platform';
import {
	LIST_TIMEOUT_MS, LIST_NEED_CHECK_MS, LIST_WATCH_PAUSE_MS, LIST_RETRY_PAUSE_MS, LIST_WATCH_TIMEOUT_MS, OWN_ENTRY_PAUSE_MS, OWN_ENTRY_TIMEOUT_MS,
} from './constants.js';
import {isStartListed} from './listed-members.js';

export type MemberFollowerOptions = {
	readonly store: Pick<StoreClient, 'snapshot' | 'watch'>;
	readonly follower: Pick<StoreFollower, 'take' | 'items'>;
	readonly view: FleetView;

	/** Address of the engine beside this agent, and the start time that it reports, if any. */
	readonly address: string;
	readonly startedAt: () => number | undefined;
	readonly clock: Clock;
	readonly log: Log;
};

export class MemberFollower {
	readonly #options: MemberFollowerOptions;
	readonly #log: Log;

	/** Store revision up to which the list is known; undefined while the list is not needed or has to be read in full. */
	#listRevision: number | undefined;
	#isFailing = false;
	#ownEntryWaiters = 0;

	/** Ends the present pause between two reads. */
	#pause = new AbortController();

	constructor(options: MemberFollowerOptions) {
		this.#options = options;
		this.#log = options.log.part('members');
	}

	/** Runs until the signal aborts. */
	async run(isNeeded: () => boolean, signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			if (!isNeeded()) {
				this.#listRevision = undefined;
				await clock.sleep(LIST_NEED_CHECK_MS, signal);
				continue;
			}

			const isAnswered = this.#listRevision === undefined ? await this.#readAll() : await this.#watch(this.#listRevision, signal);
			this.#pause = new AbortController();
			await clock.sleep(this.#pauseMs(isAnswered), AbortSignal.any([signal, this.#pause.signal]));
		}
	}

	/**
	Resolves when the list contains the present process of this engine, or after {@link OWN_ENTRY_TIMEOUT_MS}. A list without
	it was read before the engine's restart was listed. After a power failure, such a list contains no other agent, and
	every agent would read all pieces from the origin.
	*/
	async awaitOwnEntry(): Promise<void> {
		this.#ownEntryWaiters++;
		this.#pause.abort();
		await this.#waitUntil(() => this.#listRevision !== undefined && this.#isOwnStartListed, OWN_ENTRY_TIMEOUT_MS);
		this.#ownEntryWaiters--;
	}

	/** Resolves when any list is known, or after {@link LIST_TIMEOUT_MS}. */
	async awaitList(): Promise<void> {
		await this.#waitUntil(() => this.#options.view.upstreams.length > 0, LIST_TIMEOUT_MS);
	}

	get #isOwnStartListed(): boolean {
		const {view, address, startedAt} = this.#options;
		return isStartListed(view.upstreams, {address, startedAt: startedAt()});
	}

	#pauseMs(isAnswered: boolean): number {
		if (!isAnswered) {
			return LIST_RETRY_PAUSE_MS;
		}

		return this.#ownEntryWaiters > 0 && !this.#isOwnStartListed ? OWN_ENTRY_PAUSE_MS : LIST_WATCH_PAUSE_MS;
	}

	async #waitUntil(holds: () => boolean, limitMs: number): Promise<void> {
		const {clock} = this.#options;
		const startedAt = clock.monotonic();
		while (!holds()) {
			if (clock.monotonic() - startedAt >= limitMs) {
				this.#log.warn('The list of upstreams is not current; using the last known one.', {upstreams: this.#options.view.upstreams.length, isRead: this.#listRevision !== undefined, limitMs});
				return;
			}

			await clock.sleep(LIST_NEED_CHECK_MS / 4);
		}
	}

	async #readAll(): Promise<boolean> {
		const {store, follower} = this.#options;
		const read = await store.snapshot(UPSTREAM_PREFIX);
		if (read.err) {
			return this.#recordFailure(read.val);
		}

		const {items, revision} = read.val;
		const present = new Set(items.map(({key}) => key));
		const removed = follower.items.keys.filter(key => key.startsWith(UPSTREAM_PREFIX) && !present.has(key)).map(key => ({key, value: undefined, revision}));
		follower.take([...items, ...removed]);
		this.#listRevision = revision;
		this.#isFailing = false;
		return true;
	}

	async #watch(from: number, signal: AbortSignal): Promise<boolean> {
		const {store, follower} = this.#options;
		const read = await store.watch(UPSTREAM_PREFIX, {afterRevision: from, waitMs: LIST_WATCH_TIMEOUT_MS, signal});
		if (read.ok) {
			follower.take(read.val.items);
			this.#listRevision = Math.max(from, read.val.revision);
			this.#isFailing = false;
			return true;
		}

		if (read.val.kind === 'history-lost') {
			this.#listRevision = undefined;
			return true;
		}

		return signal.aborted || this.#recordFailure(read.val);
	}

	#recordFailure(error: Error): false {
		if (!this.#isFailing) {
			this.#log.warn('The list of upstreams cannot be read; using the last known one.', {upstreams: this.#options.view.upstreams.length, error: error.message});
		}

		this.#isFailing = true;
		return false;
	}
}
