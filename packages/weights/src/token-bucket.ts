import type {Clock} from '@yuccawood/common';
import {BUCKET_BURST_MS} from './constants.js';

/** Limits bytes per second. Takers are served in the order in which they ask. */
export class TokenBucket {
	readonly #clock: Clock;
	readonly #bytesPerSecond: () => number;
	readonly #burstMs: number;

	/** Monotonic time up to which the rate has been used. */
	#usedUntil = Number.NEGATIVE_INFINITY;

	constructor({clock, bytesPerSecond, burstMs = BUCKET_BURST_MS}: {
		readonly clock: Clock;

		/** Read for each taker, so that the limit can change at any time. Infinity means no limit. */
		readonly bytesPerSecond: () => number;
		readonly burstMs?: number;
	}) {
		this.#clock = clock;
		this.#bytesPerSecond = bytesPerSecond;
		this.#burstMs = burstMs;
	}

	/** Waits until the bytes may pass. A taker that aborts while it waits has used its share. */
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
