/**
Pace of an upstream whose machine others use too, by what its answers say of this moment.

Load pattern: upstreams that are two or three times as slow by turns, for some hundred milliseconds each. What an answer says
holds for the next moment and says little about a second later, so it counts for less the older it is.
*/
import {PACE_LIFETIME_MS} from './constants.js';

export class MomentaryPace {
	#pace = 1;
	#recordedAt = Number.NEGATIVE_INFINITY;

	/** @param pace multiple of the time that work usually takes there @param now monotonic time in milliseconds */
	record(pace: number, now: number): void {
		this.#pace = pace;
		this.#recordedAt = now;
	}

	/** Expected multiple for work that begins now; 1 if nothing recent is known. */
	at(now: number): number {
		return 1 + ((this.#pace - 1) * Math.exp((this.#recordedAt - now) / PACE_LIFETIME_MS));
	}
}
