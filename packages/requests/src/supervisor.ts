/** Checks requests and queues for expired deadlines and connections without progress, with one timer for all of them. */
import {runPeriodically, type Clock, type Log} from '@yuccawood/common';
import {SCAN_INTERVAL_MS} from './constants.js';

/** An object that the supervisor checks every `SCAN_INTERVAL_MS`. */
export interface PeriodicCheck {
	/** Checks deadlines and progress. `now` is the monotonic time in milliseconds. */
	readonly check: (now: number) => void;
}

/** Runs all registered checks every `SCAN_INTERVAL_MS`. */
export class Supervisor {
	readonly #checks = new Set<PeriodicCheck>();
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #stop = new AbortController();

	constructor({clock, log}: {readonly clock: Clock; readonly log: Log}) {
		this.#clock = clock;
		this.#log = log;
	}

	start(): void {
		void runPeriodically(async () => {
			await this.#clock.sleep(SCAN_INTERVAL_MS, this.#stop.signal);
			this.#scan();
		}, {
			signal: this.#stop.signal,
			pauseMs: 0,
			onError: error => {
				this.#log.error('The check of requests in progress failed.', {error});
			},
		});
	}

	close(): void {
		this.#stop.abort();
	}

	add(item: PeriodicCheck): void {
		this.#checks.add(item);
	}

	remove(item: PeriodicCheck): void {
		this.#checks.delete(item);
	}

	#scan(): void {
		const now = this.#clock.monotonic();
		for (const item of this.#checks) {
			item.check(now);
		}
	}
}
