/**
Limits what this entry sends to a cold upstream. The limit holds for all entries together, and they don't ask one another, so
each takes an equal share that leaves room for entries it does not know of.

Load pattern: a failure domain whose upstreams return together, all cold, while the upstreams elsewhere are full. All entries
have requests waiting and would send them at the same moment.
*/
import {COLD_SHARE_FRACTION} from './constants.js';

export type ColdLimit = {
	/** Requests that the upstream may get in any second, from all entries together. */
	readonly requestsPerSecond: number;

	/** Entries that may send to it. */
	readonly entries: number;
};

/**
Shortest time between two requests of one entry to a cold upstream, in milliseconds. With this pause, an entry sends at most
one more request in a second than its pauses fit into it.
*/
export const coldPauseMs = ({requestsPerSecond, entries}: ColdLimit): number => {
	const share = requestsPerSecond * COLD_SHARE_FRACTION / entries;
	return share > 1 ? 1000 / (share - 1) : Number.POSITIVE_INFINITY;
};

/** Requests of one entry to one upstream while that is cold. */
export class ColdShare {
	/** Monotonic times in milliseconds. */
	#coldUntil = Number.NEGATIVE_INFINITY;
	#lastSentAt = Number.NEGATIVE_INFINITY;

	/** Records that the upstream is cold until a time. A later time counts. */
	recordCold(until: number): void {
		this.#coldUntil = Math.max(until, this.#coldUntil);
	}

	isCold(now: number): boolean {
		return now < this.#coldUntil;
	}

	recordSend(now: number): void {
		this.#lastSentAt = now;
	}

	/** Time in milliseconds until this entry may send it the next request; 0 if it may now. */
	msUntilSend(now: number, limit: ColdLimit): number {
		if (!this.isCold(now)) {
			return 0;
		}

		const nextAt = Math.min(this.#coldUntil, this.#lastSentAt + coldPauseMs(limit));
		return Math.max(0, nextAt - now);
	}
}
