/**
Cancels requests that still wait at an upstream whose version is about to expire. Upstreams drop a queued request when its
connection closes.

Whether and when a version expires may become known or change while a request waits: the target versions, the time from
which a staleness bound counts, and the version that the upstream holds. So the waiting requests are checked at intervals and
whenever the target versions change.
*/
import {EXPIRY_CHECK_INTERVAL_MS} from './constants.js';

/** A request that was sent to an upstream and has no answer yet. */
export type UnansweredSend = {
	/** Time in milliseconds until the request has to be cancelled; undefined while no expiry is known. */
	readonly msUntilCancel: () => number | undefined;

	/** Called after the send was removed from the watch. */
	readonly cancel: () => void;
};

export class ExpiryWatch {
	readonly #sends = new Set<UnansweredSend>();
	#timer: NodeJS.Timeout | undefined;
	#isClosed = false;

	add(send: UnansweredSend): void {
		if (this.#isClosed) {
			return;
		}

		this.#sends.add(send);
		const inMs = send.msUntilCancel() ?? EXPIRY_CHECK_INTERVAL_MS;
		if (this.#timer === undefined || inMs < EXPIRY_CHECK_INTERVAL_MS) {
			this.check();
		}
	}

	/** To be called when the answer begins or the send ends. */
	remove(send: UnansweredSend): void {
		this.#sends.delete(send);
	}

	/** Cancels the sends that are due, and schedules the next check. */
	check(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		let nextInMs = EXPIRY_CHECK_INTERVAL_MS;
		try {
			for (const send of this.#sends) {
				const inMs = send.msUntilCancel();
				if (inMs === 0) {
					this.#sends.delete(send);
					send.cancel();
				} else if (inMs !== undefined) {
					nextInMs = Math.min(nextInMs, inMs);
				}
			}
		} finally {
			// Also after an error, which must not end the checks of the others.
			if (this.#sends.size > 0) {
				this.#timer = setTimeout(() => {
					this.check();
				}, nextInMs);
			}
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#sends.clear();
		clearTimeout(this.#timer);
	}
}
