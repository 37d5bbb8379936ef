/**
What was written for one upstream and has not been shown to have arrived there. Performs no I/O.

A request that was written may lie in a buffer of this VM or in the queue of a link for seconds, and is delivered later even if
its connection has been closed. A link keeps the order, so a response to a request shows that those written before it have
arrived, too.
*/
import {ABANDONED_SEND_FACTOR} from './constants.js';

type UnconfirmedSend = {
	readonly writtenAt: number;
	readonly bytes: number;

	/** From when on it no longer counts; undefined while its response may come. */
	forgottenAt?: number;
};

/** A moment's total. `oldestMs` is the time since the oldest of the sends was written; 0 if there is none. */
export type UnconfirmedSends = {
	readonly sends: number;
	readonly bytes: number;
	readonly oldestMs: number;
};

export class SendsUnderWay {
	/** In the order in which they were written. */
	readonly #sends = new Map<symbol, UnconfirmedSend>();

	/** @param now monotonic time in milliseconds @returns its key for {@link confirm} and {@link abandon} */
	add(now: number, bytes: number): symbol {
		const key = Symbol('send');
		this.#sends.set(key, {writtenAt: now, bytes});
		return key;
	}

	/** Called when the first bytes of a response arrive. */
	confirm(key: symbol): void {
		if (!this.#sends.has(key)) {
			return;
		}

		for (const earlier of this.#sends.keys()) {
			this.#sends.delete(earlier);
			if (earlier === key) {
				return;
			}
		}
	}

	/** Called when a send ends without a response. Its bytes may still arrive, so it counts for as long again as it was out. */
	abandon(key: symbol, now: number): void {
		const send = this.#sends.get(key);
		if (send) {
			send.forgottenAt = now + ((now - send.writtenAt) * ABANDONED_SEND_FACTOR);
		}
	}

	at(now: number): UnconfirmedSends {
		let [sends, bytes, oldestMs] = [0, 0, 0];
		for (const [key, send] of this.#sends) {
			if (send.forgottenAt !== undefined && send.forgottenAt <= now) {
				this.#sends.delete(key);
				continue;
			}

			sends++;
			bytes += send.bytes;
			oldestMs = Math.max(oldestMs, now - send.writtenAt);
		}

		return {sends, bytes, oldestMs};
	}
}
