/**
Measures how far the process is behind: by how late a periodic timer fires, and by how long connections have been waiting to
be accepted without a break.

The event loop accepts one connection a turn. With many short turns, connections wait in the kernel for long although no timer
is late.
*/
import type {Server} from 'node:net';
import type {Clock, Metrics} from '@yuccawood/common';

const INTERVAL_MS = 50;

export type LagWatchOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly metrics: Pick<Metrics, 'timing'>;
};

export class LagWatch {
	readonly #options: LagWatchOptions;
	#timer: NodeJS.Timeout | undefined;
	#dueAt = 0;
	#lastDelayMs = 0;

	/** Monotonic time of the first accept of a series with one in each turn. */
	#acceptingSince: number | undefined;
	#hasAccepted = false;

	constructor(options: LagWatchOptions) {
		this.#options = options;
	}

	start(server: Pick<Server, 'on'>): void {
		this.#dueAt = this.#options.clock.monotonic() + INTERVAL_MS;
		this.#timer = setInterval(() => {
			this.#sample();
		}, INTERVAL_MS);
		this.#timer.unref();
		server.on('connection', () => {
			this.#recordAccept();
		});
	}

	stop(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
	}

	/** Delay of the last sample in milliseconds, or of the next one if that is already later. */
	get loopDelayMs(): number {
		return this.#timer ? Math.max(this.#lastDelayMs, this.#overdueMs) : 0;
	}

	/** Time in milliseconds for which each turn has accepted a connection. None of the accepted connections has waited longer. */
	get acceptBacklogMs(): number {
		return this.#acceptingSince === undefined ? 0 : this.#options.clock.monotonic() - this.#acceptingSince;
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

	#recordAccept(): void {
		this.#hasAccepted = true;
		if (this.#acceptingSince === undefined) {
			this.#acceptingSince = this.#options.clock.monotonic();
			this.#checkAfterTurn();
		}
	}

	#checkAfterTurn(): void {
		setImmediate(() => {
			if (!this.#hasAccepted) {
				this.#acceptingSince = undefined;
				return;
			}

			this.#hasAccepted = false;
			this.#checkAfterTurn();
		});
	}
}
