import {
	topRanked, type Clock, type Log, type Metrics, type Random, limitSignal,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import type {KeyValueEntry, KeyValueService} from '@yuccawood/interfaces';
import {
	CATCH_UP_PERIOD_MS, HEAD_KEY, WATCHERS_PER_REGION, WATCH_MARGIN_MS,
} from './constants.js';
import {decodeHead} from './head.js';
import {boundedCall} from './key-value-calls.js';
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

/** Reads the head at start, and watches it while this process is one of its region's watchers. */
export class HeadWatcher {
	readonly #options: HeadWatcherOptions;

	/** Version of the head key seen last. */
	#version = 0;
	#failures = 0;

	constructor(options: HeadWatcherOptions) {
		this.#options = options;
	}

	/**
	Whether rendezvous hashing selects this process among the live members of its region.

	Processes whose member tables differ may disagree; then there are a few watchers more.
	*/
	get isWatcher(): boolean {
		const {members} = this.#options;
		const {id, region} = members.self;
		const alive = members.members.filter(member => member.region === region && member.status === 'alive').map(member => member.id);
		return topRanked(`configuration-watchers/${region}`, alive, WATCHERS_PER_REGION).includes(id);
	}

	/** Reads the head once. @returns whether the key-value service answered. */
	async readOnce(): Promise<boolean> {
		const {keyValue} = this.#options;
		const outcome = await boundedCall(async () => keyValue.read(HEAD_KEY));
		if (outcome.err) {
			this.#reportFailure(outcome.val.message);
			return false;
		}

		this.#accept(outcome.val);
		return true;
	}

	/** Watches until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#options;
		while (!signal.aborted) {
			if (!this.isWatcher) {
				await clock.sleep(CATCH_UP_PERIOD_MS, signal);
				continue;
			}

			const isAnswered = await this.#watchOnce(signal);
			if (!isAnswered) {
				const longestMs = Math.min(2000, 100 * (2 ** Math.min(this.#failures, 5)));
				await clock.sleep(50 + (random.next() * longestMs), signal);
			}
		}
	}

	async #watchOnce(signal: AbortSignal): Promise<boolean> {
		const {keyValue, watchTimeoutMs} = this.#options;
		const limitMs = watchTimeoutMs + WATCH_MARGIN_MS;

		// A watch whose connection has gone silent never ends by itself.
		const limited = limitSignal(signal, limitMs);
		const outcome = await boundedCall(async () => keyValue.watch(HEAD_KEY, this.#version, watchTimeoutMs, limited.signal), limitMs);
		limited.release();
		if (signal.aborted) {
			return true;
		}

		if (outcome.err) {
			this.#reportFailure(outcome.val.message);
			return false;
		}

		this.#accept(outcome.val);
		return true;
	}

	#accept(entry: KeyValueEntry | undefined): void {
		this.#failures = 0;
		if (!entry) {
			return;
		}

		const {log, metrics, onSnapshot} = this.#options;
		this.#version = entry.version;
		const decoded = decodeHead(entry.value);
		if (decoded.err) {
			metrics.count('configuration.corrupt');
			log.error('The stored head was ignored.', {error: decoded.val.message});
			return;
		}

		onSnapshot(decoded.val);
	}

	#reportFailure(error: string): void {
		const {log, metrics} = this.#options;
		this.#failures++;
		metrics.count('configuration.key_value_failures');
		if (this.#failures === 1) {
			log.warn('The key-value service does not answer; the configuration in force stays.', {error});
		}
	}
}
