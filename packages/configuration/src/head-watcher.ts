import {
	topByWeight, type Clock, type Log, type Metrics, type Random, signalWithTimeout,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import type {KeyValueEntry, KeyValueService} from '@yuccawood/interfaces';
import {
	CATCH_UP_PERIOD_MS, HEAD_KEY, WATCHERS_PER_REGION, WATCH_MARGIN_MS,
} from './constants.js';
import {decodeHead} from './head.js';
import {callWithTimeout} from './key-value-calls.js';
import type {Snapshot} from './types.js';

type HeadWatcherOptions = {
	readonly members: MemberTable;
	readonly keyValue: KeyValueService;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly watchTimeoutMs: number;
	readonly onSnapshot: (snapshot: Snapshot) => void;
};

/** Reads the head once at start, and watches it for changes while this process is one of its region's watchers. */
export class HeadWatcher {
	readonly #options: HeadWatcherOptions;

	/** Version of the head key in the last response. */
	#lastSeenVersion = 0;
	#consecutiveFailures = 0;

	constructor(options: HeadWatcherOptions) {
		this.#options = options;
	}

	/**
	Whether rendezvous hashing selects this process as a watcher among the live members of its region.

	While the member tables of processes differ, a region may have a few more watchers.
	*/
	get isWatcher(): boolean {
		const {members} = this.#options;
		const {id, region} = members.self;
		const alive = members.members.filter(member => member.region === region && member.status === 'alive').map(member => member.id);
		return topByWeight(`configuration-watchers/${region}`, alive, WATCHERS_PER_REGION).includes(id);
	}

	/** Reads the head once. @returns whether the key-value service answered. */
	async readOnce(): Promise<boolean> {
		const {keyValue} = this.#options;
		const outcome = await callWithTimeout(async () => keyValue.read(HEAD_KEY));
		if (outcome.err) {
			this.#recordFailure(outcome.val.message);
			return false;
		}

		this.#handleEntry(outcome.val);
		return true;
	}

	/** Watches the head until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#options;
		while (!signal.aborted) {
			if (!this.isWatcher) {
				await clock.sleep(CATCH_UP_PERIOD_MS, signal);
				continue;
			}

			const isAnswered = await this.#watchOnce(signal);
			if (!isAnswered) {
				const maxPauseMs = Math.min(2000, 100 * (2 ** Math.min(this.#consecutiveFailures, 5)));
				await clock.sleep(50 + (random.next() * maxPauseMs), signal);
			}
		}
	}

	async #watchOnce(signal: AbortSignal): Promise<boolean> {
		const {keyValue, watchTimeoutMs} = this.#options;
		const timeoutMs = watchTimeoutMs + WATCH_MARGIN_MS;

		// A watch whose connection has gone silent would never end by itself.
		const limited = signalWithTimeout(signal, timeoutMs);
		const outcome = await callWithTimeout(async () => keyValue.watch(HEAD_KEY, this.#lastSeenVersion, watchTimeoutMs, limited.signal), timeoutMs);
		limited.release();
		if (signal.aborted) {
			return true;
		}

		if (outcome.err) {
			this.#recordFailure(outcome.val.message);
			return false;
		}

		this.#handleEntry(outcome.val);
		return true;
	}

	#handleEntry(entry: KeyValueEntry | undefined): void {
		this.#consecutiveFailures = 0;
		if (!entry) {
			return;
		}

		const {log, metrics, onSnapshot} = this.#options;
		this.#lastSeenVersion = entry.version;
		const decoded = decodeHead(entry.value);
		if (decoded.err) {
			metrics.count('configuration.corrupt');
			log.error('The stored configuration head cannot be decoded and was ignored. Restore it from a backup of the key-value service.', {error: decoded.val.message});
			return;
		}

		onSnapshot(decoded.val);
	}

	#recordFailure(error: string): void {
		const {log, metrics} = this.#options;
		this.#consecutiveFailures++;
		metrics.count('configuration.key_value_failures');
		if (this.#consecutiveFailures === 1) {
			log.warn('The key-value service does not answer; the configuration in force stays.', {error});
		}
	}
}
