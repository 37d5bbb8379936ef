/**
What was written for one upstream and has not been shown to have arrived there. Performs no I/O.

A request that was written may lie in a buffer of this VM or in the queue of a link for seconds, and is delivered later even if
its connection has been closed. A link keeps the order, so a response to a request shows that those written before it have
arrived, too.
*/
import {
	ABANDONED_SEND_FACTOR, INITIAL_WINDOW_BYTES, PROBES_BEFORE_REQUEST, SLOW_PATH_LIFETIME_MS, USUAL_BYTES_WEIGHT,
} from './constants.js';

type UnconfirmedSend = {
	readonly writtenAt: number;
	readonly bytes: number;

	/** From when on it no longer counts; undefined while its response may come. */
	forgottenAt?: number;
};

/** What is under way at a moment. Times are 0 if there is nothing. */
export type UnconfirmedSends = {
	readonly sends: number;
	readonly bytes: number;

	/** Time since the oldest and the newest of the sends were written, in milliseconds. */
	readonly oldestMs: number;
	readonly newestMs: number;

	/** Bytes that the path may have under way: 0 until a probe has come back in time. */
	readonly windowBytes: number;

	/** Whether the path has delayed something lately. */
	readonly isSlow: boolean;

	/** Whether probes find out what the path does. Otherwise only requests can. */
	readonly isProbed: boolean;
};

/** Outcome of a probe of the path. */
export type ProbeOutcome = 'answered' | 'no-answer' | 'unreachable';

type Moment = {
	readonly now: number;

	/** Delay, in milliseconds, from which an answer counts as late. */
	readonly silenceMs: number;
};

export const NOTHING_UNDER_WAY: UnconfirmedSends = {
	sends: 0, bytes: 0, oldestMs: 0, newestMs: 0, windowBytes: INITIAL_WINDOW_BYTES, isSlow: false, isProbed: false,
};

export class SendsUnderWay {
	/** In the order in which they were written. */
	readonly #sends = new Map<symbol, UnconfirmedSend>();
	#windowBytes = INITIAL_WINDOW_BYTES;
	#lateAt = Number.NEGATIVE_INFINITY;

	/** Requests that are assigned and not written yet. */
	#planned = 0;
	#usualBytes = 0;
	#isProbed = false;
	#unansweredProbes = 0;

	/** Called when a request is assigned to the upstream. It counts from then on, with the size of recent ones. */
	plan(): void {
		this.#planned++;
	}

	/** Called when an assigned request ends without having been written. */
	dropPlan(): void {
		this.#planned = Math.max(0, this.#planned - 1);
	}

	/**
	Called when an assigned request is written.

	@param now monotonic time in milliseconds
	@returns its key for {@link confirm} and {@link abandon}
	*/
	add(now: number, bytes: number): symbol {
		const key = Symbol('send');
		this.dropPlan();
		this.#usualBytes += (bytes - this.#usualBytes) * USUAL_BYTES_WEIGHT;
		this.#sends.set(key, {writtenAt: now, bytes});
		return key;
	}

	/**
	Called when the first bytes of a response arrive. Its delay shows what the path takes: the window becomes what it would have
	delivered in time, and grows while responses come in time and most of it is used.
	*/
	confirm(key: symbol, {now, silenceMs}: Moment): void {
		const confirmed = this.#sends.get(key);
		if (!confirmed) {
			return;
		}

		const underWay = this.at(now).bytes;
		let bytes = 0;
		for (const [earlier, send] of this.#sends) {
			this.#sends.delete(earlier);
			bytes += send.bytes;
			if (earlier === key) {
				break;
			}
		}

		const delayMs = now - confirmed.writtenAt;
		if (delayMs > silenceMs) {
			this.#shrink(bytes * silenceMs / delayMs, now);
			return;
		}

		this.#windowBytes = Math.max(this.#windowBytes, this.#isProbed ? INITIAL_WINDOW_BYTES : 0);
		if (underWay > this.#windowBytes / 2) {
			this.#windowBytes += bytes;
		}
	}

	/**
	Called when a send ends without a response. Its bytes may still arrive, so it goes on counting for a multiple of the time for
	which it was out, or until a later send is confirmed.
	*/
	abandon(key: symbol, {now, silenceMs}: Moment): void {
		const send = this.#sends.get(key);
		if (!send) {
			return;
		}

		const outMs = now - send.writtenAt;
		send.forgottenAt = now + (outMs * ABANDONED_SEND_FACTOR);
		if (outMs > silenceMs) {
			this.#shrink(send.bytes * silenceMs / outMs, now);
		}
	}

	/** Called when probes of the path begin, before the first one. */
	beginProbes(): void {
		this.#isProbed = true;
	}

	/** Applies a probe that was sent at `startedAt`. What was written before has arrived if it was answered. */
	applyProbe(outcome: ProbeOutcome, {startedAt, now, silenceMs}: Moment & {readonly startedAt: number}): void {
		if (outcome === 'unreachable') {
			// The path may be sound all the same, and a request has to show it.
			this.#isProbed = false;
			this.#windowBytes ||= 1;
			return;
		}

		if (outcome === 'no-answer') {
			this.#unansweredProbes++;
			this.#lateAt = now;
			this.#windowBytes = this.#unansweredProbes % PROBES_BEFORE_REQUEST === 0 ? 1 : 0;
			return;
		}

		this.#unansweredProbes = 0;
		for (const [key, {writtenAt}] of this.#sends) {
			if (writtenAt <= startedAt) {
				this.#sends.delete(key);
			}
		}

		if (now - startedAt > silenceMs) {
			this.#shrink(0, now);
		} else {
			this.#windowBytes = Math.max(this.#windowBytes, INITIAL_WINDOW_BYTES);
		}
	}

	/** Whether the send has not been shown to have arrived. */
	has(key: symbol): boolean {
		return this.#sends.has(key);
	}

	at(now: number): UnconfirmedSends {
		let [sends, bytes, oldestMs, newestMs] = [this.#planned, this.#planned * this.#usualBytes, 0, 0];
		for (const [key, send] of this.#sends) {
			if (send.forgottenAt !== undefined && send.forgottenAt <= now) {
				this.#sends.delete(key);
				continue;
			}

			sends++;
			bytes += send.bytes;
			newestMs = now - send.writtenAt;
			oldestMs = Math.max(oldestMs, newestMs);
		}

		return {
			sends, bytes, oldestMs, newestMs: this.#planned > 0 ? 0 : newestMs,
			windowBytes: this.#windowBytes, isSlow: now - this.#lateAt < SLOW_PATH_LIFETIME_MS, isProbed: this.#isProbed,
		};
	}

	#shrink(bytes: number, now: number): void {
		this.#lateAt = now;
		this.#windowBytes = this.#isProbed ? 0 : Math.min(this.#windowBytes, bytes);
	}
}
