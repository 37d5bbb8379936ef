import type {AccountConfiguration} from '@yuccawood/configuration';
import {
	ANONYMOUS_ACCOUNT, ANONYMOUS_PRIORITY, BURST_SECONDS, INITIAL_SERVICE_MS, MEAN_USE_TIME_CONSTANT_MS, MIN_DEMAND_PERIOD_MS, MOVING_AVERAGE_WEIGHT,
} from './constants.js';
import type {Limits} from './share-messages.js';
import {TokenBucket} from './token-bucket.js';

/** Limits and use of one account at this entry. Also counts the use of a pool as a whole, and of an account within one pool. */
export class AccountState {
	readonly name: string;
	readonly bucket: TokenBucket;
	limits: Limits;
	priority: number;

	/** Weight in the fair queue: the concurrency limit of the account over all entries. */
	weight: number;

	/** Requests that are admitted and not released. */
	inFlight = 0;

	/** Requests that wait for capacity. */
	waiting = 0;

	/** Service time of the account's requests so far, divided by its weight; the fair queue orders accounts by it. */
	virtualTimeMs = 0;
	meanServiceMs = INITIAL_SERVICE_MS;

	/** True once a request has ended, so `meanServiceMs` is no longer the assumed value. */
	hasServiceTime = false;
	lastUsedAt: number;
	#attempts = 0;
	#concurrencyRefusals = 0;
	#peakInUse = 0;
	#rateDemand = 0;
	#demandCollectedAt: number;
	#meanInFlight = 0;
	#meanUpdatedAt: number;

	constructor({name, limits, priority, weight, now}: {
		readonly name: string;
		readonly limits: Limits;
		readonly priority: number;
		readonly weight: number;
		readonly now: number;
	}) {
		this.name = name;
		this.limits = limits;
		this.priority = priority;
		this.weight = weight;
		this.lastUsedAt = now;
		this.#demandCollectedAt = now;
		this.#meanUpdatedAt = now;
		this.bucket = new TokenBucket({rate: limits.rate, burstSeconds: BURST_SECONDS, now});
	}

	/** Requests that run or wait. */
	get inUse(): number {
		return this.inFlight + this.waiting;
	}

	/** Counts a request that asks for admission, whether or not it is admitted. */
	countAttempt(now: number): void {
		this.#attempts++;
		this.lastUsedAt = now;
	}

	/** Moving average of the number of running requests over the last seconds, brought up to `now`. */
	meanInFlight(now: number): number {
		const elapsedMs = Math.max(0, now - this.#meanUpdatedAt);
		this.#meanUpdatedAt = Math.max(now, this.#meanUpdatedAt);
		this.#meanInFlight += (this.inFlight - this.#meanInFlight) * (1 - Math.exp(-elapsedMs / MEAN_USE_TIME_CONSTANT_MS));
		return this.#meanInFlight;
	}

	/** Counts a request that starts to run. */
	begin(now: number): void {
		this.meanInFlight(now);
		this.inFlight++;
		this.#peakInUse = Math.max(this.#peakInUse, this.inUse);
	}

	/** Counts a request that ends after `serviceMs`. */
	end(now: number, serviceMs: number): void {
		this.meanInFlight(now);
		this.inFlight--;
		this.meanServiceMs += (this.hasServiceTime ? MOVING_AVERAGE_WEIGHT : 1) * (serviceMs - this.meanServiceMs);
		this.hasServiceTime = true;
	}

	/** Counts a request that was refused because the share of the concurrency or capacity was used up. */
	countConcurrencyRefusal(): void {
		this.#concurrencyRefusals++;
	}

	/** Returns the demand since the last call, in requests per second and concurrent requests, and starts counting anew. */
	collectDemand(now: number): {readonly rate: number; readonly concurrent: number} {
		const rate = this.#attempts * 1000 / Math.max(MIN_DEMAND_PERIOD_MS, now - this.#demandCollectedAt);
		// Follows a rise at once and a fall slowly, so that the entry keeps its share over a short gap between requests.
		this.#rateDemand = Math.max(rate, (rate + this.#rateDemand) / 2);
		const concurrent = Math.max(this.#peakInUse, this.inUse) + this.#concurrencyRefusals;
		this.#demandCollectedAt = now;
		this.#attempts = 0;
		this.#concurrencyRefusals = 0;
		this.#peakInUse = this.inUse;
		return {rate: this.#rateDemand, concurrent};
	}
}

export const anonymousState = (now: number): AccountState => new AccountState({
	name: ANONYMOUS_ACCOUNT,
	limits: {rate: Number.POSITIVE_INFINITY, concurrent: Number.POSITIVE_INFINITY},
	priority: ANONYMOUS_PRIORITY,
	weight: 1,
	now,
});

export const limitsOf = ({requestsPerSecond, concurrent}: AccountConfiguration): Limits => ({rate: requestsPerSecond, concurrent});
