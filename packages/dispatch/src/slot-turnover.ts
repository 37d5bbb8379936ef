/**
Estimates how many slots of a service become free for this entry per second.

Load pattern: a burst after a quiet time. Few slots became free lately because few were taken, so their count alone says that
a queued request waits for seconds, although the running ones end soon. Where many more slots are held now than
in the time of the count, as many more are expected to become free. Under a steady load the count holds as it is.
*/
import {FREED_SLOTS_WINDOW_MS, MIN_HELD_GROWTH, USUAL_HELD_MEMORY_MS} from './constants.js';
import {RecentTimes} from './recent-times.js';

/** A use of a slot that is over. */
export type SlotUse = {
	/** Monotonic time in milliseconds. */
	readonly freedAt: number;

	/** Whether the slot can be taken again: its upstream is still listed. */
	readonly isUsable: boolean;
};

export class SlotTurnover {
	readonly #freed = new RecentTimes({windowMs: FREED_SLOTS_WINDOW_MS});

	/** Number of slots that are held now, and its average, in which earlier times count less. */
	#held = 0;
	#usualHeld = 0;
	#updatedAt = Number.NEGATIVE_INFINITY;

	take(now: number): void {
		this.#updateUsual(now);
		this.#held++;
	}

	free({freedAt, isUsable}: SlotUse): void {
		this.#updateUsual(freedAt);
		this.#held--;
		if (isUsable) {
			this.#freed.record(freedAt);
		}
	}

	/** 0 while nothing is known. */
	freedPerSecond(now: number): number {
		this.#updateUsual(now);
		const countedPerSecond = this.#freed.countAt(now) * 1000 / FREED_SLOTS_WINDOW_MS;
		const growth = this.#usualHeld === 0 ? 1 : this.#held / this.#usualHeld;
		return growth < MIN_HELD_GROWTH ? countedPerSecond : countedPerSecond * growth;
	}

	#updateUsual(now: number): void {
		const elapsedMs = Math.max(0, now - this.#updatedAt);
		const kept = Math.exp(-elapsedMs / USUAL_HELD_MEMORY_MS);
		this.#usualHeld = this.#held + ((this.#usualHeld - this.#held) * kept);
		this.#updatedAt = Math.max(now, this.#updatedAt);
	}
}
