/**
Measures how far the process is behind: by how late a periodic timer fires, and by how long connections may have been waiting
to be accepted. With many short turns, they wait in the kernel for long although no timer is late.
*/
import type {Clock, Metrics} from '@yuccawood/common';
import type {AcceptBacklog} from './accept-backlog.js';

const INTERVAL_MS = 50;

export type LagWatchOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly metrics: Pick<Metrics, 'timing'>;
	readonly backlog: Pick<AcceptBacklog, 'waitMs'>;
};

export class LagWatch {
	readonly #options: LagWatchOptions;
	#timer: NodeJS.Timeout | undefined;
	#dueAt = 0;
	#lastDelayMs = 0;

	constructor(options: LagWatchOptions) {
		this.#options = options;
	}

	start(): void {
		this.#dueAt = this.#options.clock.monotonic() + INTERVAL_MS;
		this.#timer = setInterval(() => {
			this.#sample();
		}, INTERVAL_MS);
		this.#timer.unref();
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	/** Delay of the last sample in milliseconds, or of the next one if that is already later. */
	get loopDelayMs(): number {
		return this.#timer ? Math.max(this.#lastDelayMs, this.#overdueMs) : 0;
	}

	/** Longest time in milliseconds for which connections that are accepted now may have waited. */
	get acceptBacklogMs(): number {
		return this.#options.backlog.waitMs;
	}

	get #overdueMs(): number {
		return Math.max(0, this.#options.clock.monotonic() - this.#dueAt);
	}

	#sample(): void {
		this.#lastDelayMs = this.#overdueMs;
		this.#dueAt = this.#options.clock.monotonic() + INTERVAL_MS;
		this.#options.metrics.timing('gateway.loop_delay_ms', this.#lastDelayMs);
		this.#options.metrics.timing('gateway.accept_backlog_ms', this.acceptBacklogMs);
	}
}
