/** Calls of the key-value service with timeouts. */
import {
	withTimeout, type Clock, type Random, type Result, Err, describeError,
} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';
import {EDIT_RETRY_MAX_MS, EDIT_RETRY_MIN_MS, KEY_VALUE_CALL_TIMEOUT_MS} from './constants.js';

/** Time limit of an operation and its retries. It uses the monotonic clock, so that a change of the wall clock neither ends nor extends it. */
export class TimeLimit {
	readonly clock: Clock;
	readonly #random: Random;
	readonly #end: number;
	#pauseMs = EDIT_RETRY_MIN_MS;

	constructor({clock, random, milliseconds}: {readonly clock: Clock; readonly random: Random; readonly milliseconds: number}) {
		this.clock = clock;
		this.#random = random;
		this.#end = clock.monotonic() + milliseconds;
	}

	get remainingMs(): number {
		return this.#end - this.clock.monotonic();
	}

	/** Timeout of the next call of the key-value service, in milliseconds. */
	get callTimeoutMs(): number {
		return Math.min(this.remainingMs, KEY_VALUE_CALL_TIMEOUT_MS);
	}

	get hasPassed(): boolean {
		return this.remainingMs <= 0;
	}

	/** Waits before a retry for a random time up to a bound that doubles with each call. */
	async pauseBeforeRetry(): Promise<void> {
		const pauseMs = EDIT_RETRY_MIN_MS + (this.#random.next() * this.#pauseMs);
		this.#pauseMs = Math.min(EDIT_RETRY_MAX_MS, this.#pauseMs * 2);
		await this.clock.sleep(Math.min(pauseMs, Math.max(0, this.remainingMs)));
	}
}

/** Runs a call with a timeout. A call that times out or throws gives the error `unknown-outcome`. */
export const callWithTimeout = async <Value>(call: () => Promise<Result<Value, PlatformError>>, timeoutMs = KEY_VALUE_CALL_TIMEOUT_MS): Promise<Result<Value, PlatformError>> => {
	try {
		return await withTimeout(call(), Math.max(1, timeoutMs), 'The call of the key-value service');
	} catch (error) {
		return Err(new PlatformError({
			kind: 'unknown-outcome', detail: describeError(error), remedy: 'Read the key back.', cause: error,
		}));
	}
};
