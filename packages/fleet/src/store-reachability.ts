/** Whether the store can be reached, and for how long a removal may still be a lease that expired during an outage. */
import {
	describeError, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import {LEASE_EXPIRY_GRACE_MS, LEASE_EXPIRY_WINDOW_MS} from './constants.js';

export class StoreReachability {
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #metrics: Metrics;
	#isReachable = false;
	#wasReachableBefore = false;
	#reachableAgainAt = Number.NEGATIVE_INFINITY;
	#lastFailureAt: number | undefined;

	constructor({clock, log, metrics}: {readonly clock: Clock; readonly log: Log; readonly metrics: Metrics}) {
		this.#clock = clock;
		this.#log = log;
		this.#metrics = metrics;
	}

	get isReachable(): boolean {
		return this.#isReachable;
	}

	/** Whether the store answered before and does not any more. */
	get isLost(): boolean {
		return this.#wasReachableBefore && !this.#isReachable;
	}

	/** Milliseconds since the store was last found unreachable; undefined if it never was. */
	get sinceUnreachableMs(): number | undefined {
		return this.#lastFailureAt === undefined ? undefined : this.#clock.monotonic() - this.#lastFailureAt;
	}

	/**
	Time in milliseconds for which an upstream whose item was removed stays usable, because its lease may have expired during an
	outage of the store; 0 when there was none.
	*/
	get leaseGraceMs(): number {
		const windowMs = this.#isReachable ? this.#reachableAgainAt + LEASE_EXPIRY_WINDOW_MS - this.#clock.monotonic() : LEASE_EXPIRY_GRACE_MS;
		return Math.max(0, Math.min(LEASE_EXPIRY_GRACE_MS, windowMs));
	}

	/** @returns whether the store was unreachable until now */
	recordAnswer(): boolean {
		if (this.#isReachable) {
			return false;
		}

		this.#isReachable = true;
		this.#reachableAgainAt = this.#wasReachableBefore ? this.#clock.monotonic() : Number.NEGATIVE_INFINITY;
		this.#wasReachableBefore = true;
		this.#log.info('The store answers.', {});
		return true;
	}

	recordFailure(error: unknown): void {
		this.#metrics.count('fleet.store_failures');
		this.#lastFailureAt = this.#clock.monotonic();
		if (this.#isReachable) {
			this.#isReachable = false;
			this.#log.warn('The store does not answer; the last known state stays in force.', {error: describeError(error)});
		}
	}
}
