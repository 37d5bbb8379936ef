/**
Cancels requests that still wait at an upstream whose version is about to expire. Upstreams drop a queued request when its
connection closes.

Whether and when a version expires may become known or change while a request waits: the target versions, the time from
which a staleness bound counts, and the version that the upstream holds. So the waiting requests are checked at intervals and
whenever the target versions change.
*/
import {MAX_CANCEL_CHECK_MS} from './constants.js';

/** A request that was sent and has no answer yet. */
export type WaitingRequest = {
	/** Time in milliseconds until the request has to be cancelled; undefined while no expiry is known. */
	readonly msUntilCancel: () => number | undefined;

	/** Ends the send. The request is no longer in the watch then. */
	readonly cancel: () => void;
};

export class ExpiryWatch {
	readonly #waiting = new Set<WaitingRequest>();
	#timer: NodeJS.Timeout | undefined;
	#isClosed = false;

	add(request: WaitingRequest): void {
		if (this.#isClosed) {
			return;
		}

		this.#waiting.add(request);
		const inMs = request.msUntilCancel() ?? MAX_CANCEL_CHECK_MS;
		if (this.#timer === undefined || inMs < MAX_CANCEL_CHECK_MS) {
			this.check();
		}
	}

	/** To be called when the answer begins or the send ends. */
	remove(request: WaitingRequest): void {
		this.#waiting.delete(request);
	}

	/** Cancels the requests that are due, and schedules the next check. */
	check(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		let nextInMs = MAX_CANCEL_CHECK_MS;
		try {
			for (const request of this.#waiting) {
				const inMs = request.msUntilCancel();
				if (inMs === 0) {
					this.#waiting.delete(request);
					request.cancel();
				} else if (inMs !== undefined) {
					nextInMs = Math.min(nextInMs, inMs);
				}
			}
		} finally {
			// Also after an error, which must not end the checks of the other requests.
			if (this.#waiting.size > 0) {
				this.#timer = setTimeout(() => {
					this.check();
				}, nextInMs);
			}
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#waiting.clear();
		clearTimeout(this.#timer);
	}
}
