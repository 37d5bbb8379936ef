/**
Computes the rate that transfers may use: the line rate minus the rate of live requests, times a factor. The factor is
halved while live requests are slower than their baseline, and recovers afterwards.
*/
import type {Clock} from '@yuccawood/common';
import {LatencyGauge} from './latency-gauge.js';

/** Interval over which bytes of live requests are averaged. */
const LIVE_RATE_WINDOW_MS = 1000;

/** Shortest time between two changes of the factor by reported latency. */
const ADJUST_INTERVAL_MS = 500;

/** Time without a change of the factor after which it recovers by one step, because one slow member delays all others. */
const IDLE_RECOVERY_MS = 1000;

/** Smallest value of the factor. */
const MIN_RATE_FACTOR = 1 / 8;

/** Factor of one recovery step. */
const RECOVERY_FACTOR = 1.5;

/** Smallest share of the line rate that is left to transfers before the factor applies, so that a rollout always advances. */
const MIN_TRANSFER_SHARE = 0.1;

export class LinkBudget {
	readonly #clock: Clock;
	readonly #lineRate: number;
	readonly #onSlowed: () => void;
	readonly #latencyGauge = new LatencyGauge();
	#windowStart: number;
	#windowBytes = 0;
	#liveRate = 0;
	#rateFactor = 1;
	#adjustedAt: number;

	constructor({clock, bytesPerSecond, onSlowed = () => undefined}: {
		readonly clock: Clock;

		/** Line rate in each direction. */
		readonly bytesPerSecond: number;

		/** Called when the rate is reduced because live requests are slower than their baseline. */
		readonly onSlowed?: () => void;
	}) {
		this.#onSlowed = onSlowed;
		this.#clock = clock;
		this.#lineRate = bytesPerSecond;
		this.#windowStart = clock.monotonic();
		this.#adjustedAt = this.#windowStart;
	}

	/** Records bytes of live requests and responses. */
	reportBytes(bytes: number): void {
		this.#updateLiveRate();
		this.#windowBytes += bytes;
	}

	/** Records the latency of one live request and adjusts the rate if enough samples have come in. */
	reportLatency(milliseconds: number): void {
		this.#latencyGauge.record(milliseconds);
		const now = this.#clock.monotonic();
		if (now - this.#adjustedAt < ADJUST_INTERVAL_MS) {
			return;
		}

		const latencyState = this.#latencyGauge.evaluate();
		if (latencyState) {
			this.#adjustedAt = now;
			this.#rateFactor = latencyState === 'raised' ? Math.max(MIN_RATE_FACTOR, this.#rateFactor / 2) : Math.min(1, this.#rateFactor * RECOVERY_FACTOR);
		}

		if (latencyState === 'raised') {
			this.#onSlowed();
		}
	}

	/** Rate that transfers may use now. */
	get bytesPerSecond(): number {
		this.#updateLiveRate();
		this.#recoverWhenIdle();
		return Math.max(this.#lineRate - this.#liveRate, this.#lineRate * MIN_TRANSFER_SHARE) * this.#rateFactor;
	}

	/** Raises the factor by one step if it has not changed for `IDLE_RECOVERY_MS`. */
	#recoverWhenIdle(): void {
		const now = this.#clock.monotonic();
		if (now - this.#adjustedAt >= IDLE_RECOVERY_MS) {
			this.#adjustedAt = now;
			this.#rateFactor = Math.min(1, this.#rateFactor * RECOVERY_FACTOR);
		}
	}

	/** Computes the rate of live requests once a window has ended. */
	#updateLiveRate(): void {
		const now = this.#clock.monotonic();
		const elapsed = now - this.#windowStart;
		if (elapsed < LIVE_RATE_WINDOW_MS) {
			return;
		}

		this.#liveRate = this.#windowBytes * 1000 / elapsed;
		this.#windowBytes = 0;
		this.#windowStart = now;
	}
}
