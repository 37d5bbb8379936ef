/**
Logs decisions on requests, at a limited rate under load.

For a sample of the request ids, all decisions are logged. For the others, only unusual ones are, up to a maximum rate. The
number of omitted unusual decisions is logged at most once a second. Lost answers are always logged: a stop may cut many at once.
*/
import type {Clock, Log, LogFields} from '@yuccawood/common';

/** All decisions are logged for one of this many request ids. */
const SAMPLE_INTERVAL = 32;

/** Limit on logged unusual decisions per second, apart from those of the sample. */
const MAX_UNUSUAL_PER_SECOND = 100;

const WINDOW_MS = 1000;

export class DecisionLog {
	readonly #log: Log;
	readonly #clock: Clock;
	#windowStart = 0;
	#written = 0;
	#omitted = 0;

	constructor({log, clock}: {readonly log: Log; readonly clock: Clock}) {
		this.#log = log.part('requests');
		this.#clock = clock;
	}

	ordinary(requestId: string | undefined, message: string, fields: () => LogFields): void {
		if (requestId !== undefined && isSampled(requestId)) {
			this.#log.info(message, {requestId, ...fields()});
		}
	}

	unusual(requestId: string | undefined, message: string, fields: () => LogFields): void {
		if (requestId !== undefined && isSampled(requestId)) {
			this.#log.warn(message, {requestId, ...fields()});
			return;
		}

		const now = this.#clock.monotonic();
		if (now - this.#windowStart >= WINDOW_MS) {
			if (this.#omitted > 0) {
				this.#log.warn('Decisions were left out of the log.', {omitted: this.#omitted, perSecond: MAX_UNUSUAL_PER_SECOND});
			}

			this.#windowStart = now;
			this.#written = 0;
			this.#omitted = 0;
		}

		if (this.#written >= MAX_UNUSUAL_PER_SECOND) {
			this.#omitted++;
			return;
		}

		this.#written++;
		this.#log.warn(message, {requestId, ...fields()});
	}

	/** Logs that a caller has a part of an answer, and won't get the rest of it. */
	lost(requestId: string, message: string, fields: LogFields): void {
		this.#log.warn(message, {requestId, ...fields});
	}
}

const isSampled = (requestId: string): boolean => {
	let sum = 0;
	for (let i = 0; i < requestId.length; i++) {
		sum = ((sum * 31) + requestId.codePointAt(i)!) % 65_521;
	}

	return sum % SAMPLE_INTERVAL === 0;
};
