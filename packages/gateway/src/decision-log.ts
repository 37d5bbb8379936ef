/**
Logs decisions on requests, at a limited rate under load.

For a sample of the request ids, all decisions are logged. For the others, only unusual ones and lost answers are, each up to a
maximum rate, so that many refusals leave room for what callers lost. The number of omitted lines is logged at most once a second.
*/
import type {Clock, Log, LogFields} from '@yuccawood/common';

/** All decisions are logged for one of this many request ids. */
const SAMPLE_INTERVAL = 32;

/** Limit on logged lines of each kind per second, apart from those of the sample. */
const MAX_LINES_PER_SECOND = 100;

const WINDOW_MS = 1000;

/** Counts the lines of one kind, and those that were left out, in each second. */
class LineLimit {
	readonly #onOmitted: (omitted: number) => void;
	#windowStart = 0;
	#written = 0;
	#omitted = 0;

	constructor(onOmitted: (omitted: number) => void) {
		this.#onOmitted = onOmitted;
	}

	/** @returns whether one more line may be written */
	take(now: number): boolean {
		if (now - this.#windowStart >= WINDOW_MS) {
			if (this.#omitted > 0) {
				this.#onOmitted(this.#omitted);
			}

			this.#windowStart = now;
			this.#written = 0;
			this.#omitted = 0;
		}

		if (this.#written >= MAX_LINES_PER_SECOND) {
			this.#omitted++;
			return false;
		}

		this.#written++;
		return true;
	}
}

export class DecisionLog {
	readonly #log: Log;
	readonly #clock: Clock;
	readonly #unusual: LineLimit;
	readonly #lost: LineLimit;

	constructor({log, clock}: {readonly log: Log; readonly clock: Clock}) {
		this.#log = log.part('requests');
		this.#clock = clock;
		const limitOf = (kind: string): LineLimit => new LineLimit(omitted => {
			this.#log.warn('Decisions were left out of the log.', {kind, omitted, perSecond: MAX_LINES_PER_SECOND});
		});

		this.#unusual = limitOf('unusual');
		this.#lost = limitOf('lost');
	}

	ordinary(requestId: string | undefined, message: string, fields: () => LogFields): void {
		if (requestId !== undefined && isSampled(requestId)) {
			this.#log.info(message, {requestId, ...fields()});
		}
	}

	unusual(requestId: string | undefined, message: string, fields: () => LogFields): void {
		this.#warn(this.#unusual, {requestId, message, fields});
	}

	/** Logs that a caller has a part of an answer, and won't get the rest of it. */
	lost(requestId: string, message: string, fields: () => LogFields): void {
		this.#warn(this.#lost, {requestId, message, fields});
	}

	#warn(limit: LineLimit, {requestId, message, fields}: {readonly requestId: string | undefined; readonly message: string; readonly fields: () => LogFields}): void {
		if ((requestId !== undefined && isSampled(requestId)) || limit.take(this.#clock.monotonic())) {
			this.#log.warn(message, {requestId, ...fields()});
		}
	}
}

const isSampled = (requestId: string): boolean => {
	let sum = 0;
	for (let i = 0; i < requestId.length; i++) {
		sum = ((sum * 31) + requestId.codePointAt(i)!) % 65_521;
	}

	return sum % SAMPLE_INTERVAL === 0;
};
