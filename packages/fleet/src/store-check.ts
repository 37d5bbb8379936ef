/**
Checks regularly that this process still hears from the store.

A watch looks the same while nothing changes and after its connection has died without being closed. Checks have a connection
of their own, kept since before the watches were opened. If it no longer carries an answer, or had to be opened anew, the
connections of the watches may be dead, too. The store counts as unreachable only when it refuses a check, or when new
connections carry no answer either.
*/
import {delay, type Clock, type Random} from '@yuccawood/common';
import type {PlatformError} from '@yuccawood/interfaces';
import {CHECK_RETRY_MS, CHECK_TIMEOUTS_MS, MIN_INTERVAL_FRACTION} from './constants.js';
import type {ItemSource} from './item-source.js';

export type CheckResult = {
	readonly revision: number;

	/** Monotonic milliseconds at which the answered call was sent, and its duration. */
	readonly startedAt: number;
	readonly durationMs: number;

	/** Whether older connections to the store may have died without being closed. */
	readonly mayBeSilent: boolean;
};

export type StoreCheckOptions = {
	readonly source: Pick<ItemSource, 'check'>;

	/** Checks the newest revision under this prefix by cheap reads; the current revision of the store if undefined. */
	readonly prefix?: string;

	/** Longest interval between two checks, in milliseconds. Shorter ones spread the checks of all processes. */
	readonly intervalMs: number;
	readonly onAnswer: (result: CheckResult) => void;

	/** Called when the store refuses the check or cannot be reached. */
	readonly onUnreachable: (error: PlatformError) => void;

	/** Called when a listener throws. The checks go on. */
	readonly onError: (error: unknown) => void;
	readonly clock: Clock;
	readonly random: Random;
};

export class StoreCheck {
	readonly #options: StoreCheckOptions;
	#current: Promise<boolean> | undefined;
	#hasAnswered = false;

	constructor(options: StoreCheckOptions) {
		this.#options = options;
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, intervalMs, onError} = this.#options;
		while (!signal.aborted) {
			const startedAt = clock.monotonic();
			let isAnswered = false;
			try {
				isAnswered = await this.check();
			} catch (error) {
				onError(error);
			}

			await delay(Math.max(isAnswered ? 0 : CHECK_RETRY_MS, (intervalMs * (MIN_INTERVAL_FRACTION + ((1 - MIN_INTERVAL_FRACTION) * random.next()))) - (clock.monotonic() - startedAt)), signal);
		}
	}

	/** Checks now, or joins the check in progress. @returns whether the store answered */
	async check(): Promise<boolean> {
		this.#current ??= this.#attemptAll();
		try {
			return await this.#current;
		} finally {
			this.#current = undefined;
		}
	}

	async #attemptAll(): Promise<boolean> {
		const {source, prefix, clock, onAnswer, onUnreachable} = this.#options;
		let failure: PlatformError | undefined;
		for (const timeoutMs of CHECK_TIMEOUTS_MS) {
			const startedAt = clock.monotonic();
			const answer = await source.check({prefix, timeoutMs});
			if (answer.ok) {
				const mayBeSilent = this.#hasAnswered && (failure !== undefined || answer.val.isNewConnection);
				this.#hasAnswered = true;
				onAnswer({
					revision: answer.val.revision, startedAt, durationMs: clock.monotonic() - startedAt, mayBeSilent,
				});
				return true;
			}

			failure = answer.val;
			if (failure.isAnswered) {
				break;
			}
		}

		onUnreachable(failure!);
		return false;
	}
}
