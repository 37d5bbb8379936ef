import type {Clock} from '@yuccawood/common';
import {BUCKET_BURST_MS} from './constants.js';

/** Limits bytes per second. Callers are served in the order of their calls. */
export class TokenBucket {
	readonly #clock: Clock;
	readonly #bytesPerSecond: () => number;
	readonly #burstMs: number;

	/** Monotonic time up to which the rate is used up, in milliseconds. */
	#usedUntil = Number.NEGATIVE_INFINITY;

	constructor({clock, bytesPerSecond, burstMs = BUCKET_BURST_MS}: {
		readonly clock: Clock;

		/** Called for each `take`, so that the limit can change at any time. Infinity means no limit. */
		readonly bytesPerSecond: () => number;

		/** Idle time whose unused rate may be used later, in milliseconds. */
		readonly burstMs?: number;
	}) {
		this.#clock = clock;
		this.#bytesPerSecond = bytesPerSecond;
		this.#burstMs = burstMs;
	}

	/** Returns bytes that were taken and did not pass. */
	giveBack(bytes: number): void {
		this.#usedUntil -= bytes * 1000 / this.#bytesPerSecond();
	}

	/** Waits until the bytes may pass. The bytes of a caller whose signal aborts during the wait count as used. */
	async take(bytes: number, signal?: AbortSignal): Promise<void> {
		const now = this.#clock.monotonic();
		const start = Math.max(this.#usedUntil, now - this.#burstMs);
		this.#usedUntil = start + (bytes * 1000 / this.#bytesPerSecond());
		const waitMs = this.#usedUntil - now;
		if (waitMs > 0) {
			await this.#clock.sleep(waitMs, signal);
		}
	}
}
