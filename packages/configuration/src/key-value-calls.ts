/** Calls of the key-value service within a time limit. */
import {
	withTimeout, type Clock, type Random, type Result, Err, describeError,
} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';
import {EDIT_RETRY_MAX_MS, EDIT_RETRY_MIN_MS, KEY_VALUE_CALL_TIMEOUT_MS} from './constants.js';

/** Time left for an operation. Monotonic, so that a change of the wall clock neither ends nor extends it. */
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

	/** Limit of the next call of the key-value service. */
	get callMs(): number {
		return Math.min(this.remainingMs, KEY_VALUE_CALL_TIMEOUT_MS);
	}

	get hasPassed(): boolean {
		return this.remainingMs <= 0;
	}

	/** Waits for a random time up to a bound that doubles with each call. */
	async pause(): Promise<void> {
		const pauseMs = EDIT_RETRY_MIN_MS + (this.#random.next() * this.#pauseMs);
		this.#pauseMs = Math.min(EDIT_RETRY_MAX_MS, this.#pauseMs * 2);
		await this.clock.sleep(Math.min(pauseMs, Math.max(0, this.remainingMs)));
	}
}

/** Runs a call; one that takes too long or throws has an unknown outcome. */
export const boundedCall = async <Value>(call: () => Promise<Result<Value, PlatformError>>, limitMs = KEY_VALUE_CALL_TIMEOUT_MS): Promise<Result<Value, PlatformError>> => {
	try {
		return await withTimeout(call(), Math.max(1, limitMs), 'The call of the key-value service');
	} catch (error) {
		return Err(new PlatformError({
			kind: 'unknown-outcome', detail: describeError(error), remedy: 'Read the key back.', cause: error,
		}));
	}
};
