/**
Bounds how long bytes may have waited in the kernel before this process read them.

Looks are recorded right after polls of the sockets, at most one after each. What is read after the latest look was not there
at the poll before it, so it arrived after the previous look, and only while the loop was busy: an idle loop reads at once.
Idle time counts no further than to the next timer, because a frozen process seems idle, too.
*/
import {performance} from 'node:perf_hooks';

/** Source of the times of an event loop, in milliseconds. */
export interface LoopTimes {
	readonly monotonic: () => number;

	/** Total time for which the loop has waited for events. */
	readonly idle: () => number;
}

/** @returns the times of the event loop of this thread */
export const eventLoopTimes = (monotonic: () => number): LoopTimes => ({
	monotonic,
	idle: () => performance.eventLoopUtilization().idle,
});

/** Interval of the looks while the loop keeps up, in milliseconds. */
const LOOK_INTERVAL_MS = 20;

type Look = {readonly at: number; readonly idle: number};

export class ReadDelay {
	readonly #times: LoopTimes;
	readonly #afterPoll: (call: () => void) => void;
	#isLookDue = false;
	#previous: Look;
	#latest: Look;
	#timer: NodeJS.Timeout | undefined;

	/** @param afterPoll runs a function after the next poll of the sockets */
	constructor(times: LoopTimes, {afterPoll = setImmediate}: {readonly afterPoll?: (call: () => void) => void} = {}) {
		this.#times = times;
		this.#afterPoll = afterPoll;
		this.#previous = this.#now;
		this.#latest = this.#previous;
	}

	/** Begins to look at intervals. Nothing has arrived before. */
	start(): void {
		this.#previous = this.#now;
		this.#latest = this.#previous;
		this.#timer ??= setInterval(() => {
			this.look();
		}, LOOK_INTERVAL_MS).unref();
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	/** Records a look after the next poll. A busy process calls this in each turn, for a closer bound. */
	look(): void {
		if (this.#isLookDue) {
			return;
		}

		this.#isLookDue = true;
		this.#afterPoll(() => {
			this.#isLookDue = false;
			this.#previous = this.#latest;
			this.#latest = this.#now;
			// After a long turn, the next one already shows that the process has caught up.
			if (this.#latest.at - this.#previous.at > 2 * LOOK_INTERVAL_MS) {
				this.look();
			}
		});
	}

	/** Longest time in milliseconds that bytes which are read now may have waited. */
	get boundMs(): number {
		const {at, idle} = this.#now;
		return Math.max(0, at - this.#previous.at - Math.min(idle - this.#previous.idle, 2 * LOOK_INTERVAL_MS));
	}

	get #now(): Look {
		return {at: this.#times.monotonic(), idle: this.#times.idle()};
	}
}
