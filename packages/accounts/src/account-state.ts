import type {AccountConfiguration} from '@yuccawood/configuration';
import {
	ANONYMOUS_ACCOUNT, ANONYMOUS_PRIORITY, ASSUMED_SERVICE_MS, AVERAGE_WEIGHT, BURST_SECONDS, MIN_DEMAND_PERIOD_MS, USE_AVERAGE_MS,
} from './constants.js';
import type {Limits} from './share-messages.js';
import {TokenBucket} from './token-bucket.js';

/** Limits and use of one account at this entry. */
export class AccountState {
	readonly name: string;
	readonly bucket: TokenBucket;
	limits: Limits;
	priority: number;

	/** Weight in the queue: the concurrency that the account may have in the whole fleet. */
	weight: number;
	inFlight = 0;
	waiting = 0;

	/** Service time that the account has had, divided by its weight. */
	virtualMs = 0;
	meanServiceMs = ASSUMED_SERVICE_MS;
	hasEnded = false;
	lastUsedAt: number;
	#attempts = 0;
	#refused = 0;
	#peak = 0;
	#rateDemand = 0;
	#demandAt: number;
	#meanInFlight = 0;
	#meanAt: number;

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
		this.#demandAt = now;
		this.#meanAt = now;
		this.bucket = new TokenBucket({rate: limits.rate, burstSeconds: BURST_SECONDS, now});
	}

	get inUse(): number {
		return this.inFlight + this.waiting;
	}

	/** Counts an attempt, whatever becomes of it. */
	attempt(now: number): void {
		this.#attempts++;
		this.lastUsedAt = now;
	}

	/** Mean number of requests that ran over the last seconds. */
	meanInFlight(now: number): number {
		const passed = Math.max(0, now - this.#meanAt);
		this.#meanAt = Math.max(now, this.#meanAt);
		this.#meanInFlight += (this.inFlight - this.#meanInFlight) * (1 - Math.exp(-passed / USE_AVERAGE_MS));
		return this.#meanInFlight;
	}

	begin(now: number): void {
		this.meanInFlight(now);
		this.inFlight++;
		this.#peak = Math.max(this.#peak, this.inUse);
	}

	end(now: number, serviceMs: number): void {
		this.meanInFlight(now);
		this.inFlight--;
		this.meanServiceMs += (this.hasEnded ? AVERAGE_WEIGHT : 1) * (serviceMs - this.meanServiceMs);
		this.hasEnded = true;
	}

	/** Counts a request that was refused because the concurrency share was used up. */
	refuseConcurrency(): void {
		this.#refused++;
	}

	/** Demand since the last call, in requests per second and concurrent requests. */
	takeDemand(now: number): {readonly rate: number; readonly concurrent: number} {
		const rate = this.#attempts * 1000 / Math.max(MIN_DEMAND_PERIOD_MS, now - this.#demandAt);
		// A rise counts at once, a fall slowly, so that a short gap does not give the share away.
		this.#rateDemand = Math.max(rate, (rate + this.#rateDemand) / 2);
		const concurrent = Math.max(this.#peak, this.inUse) + this.#refused;
		this.#demandAt = now;
		this.#attempts = 0;
		this.#refused = 0;
		this.#peak = this.inUse;
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
