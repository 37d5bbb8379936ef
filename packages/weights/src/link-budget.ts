/** Rate that transfers may use: the line rate less what live requests use, halved while these are slower than usual. */
import type {Clock} from '@yuccawood/common';
import {LatencyGauge} from './latency-gauge.js';

const WINDOW_MS = 1000;
const ADJUST_EVERY_MS = 500;

/** Without further proof of raised latency the rate recovers: one slow member holds up all others. */
const IDLE_RECOVERY_MS = 1000;
const SMALLEST_FACTOR = 1 / 8;
const RECOVERY = 1.5;

/** Live requests always leave transfers this share of the line, so that a rollout cannot starve. */
const SMALLEST_SHARE = 0.1;

export class LinkBudget {
	readonly #clock: Clock;
	readonly #lineRate: number;
	readonly #onSlowed: () => void;
	readonly #gauge = new LatencyGauge();
	#windowStart: number;
	#windowBytes = 0;
	#liveRate = 0;
	#factor = 1;
	#adjustedAt: number;

	constructor({clock, bytesPerSecond, onSlowed = () => undefined}: {
		readonly clock: Clock;
		readonly bytesPerSecond: number;

		/** Called when the rate is halved because live requests are slower than usual. */
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
		this.#rollWindow();
		this.#windowBytes += bytes;
	}

	/** Records the latency of one live request. */
	reportLatency(milliseconds: number): void {
		this.#gauge.record(milliseconds);
		const now = this.#clock.monotonic();
		if (now - this.#adjustedAt < ADJUST_EVERY_MS) {
			return;
		}

		const judgement = this.#gauge.judge();
		if (judgement) {
			this.#adjustedAt = now;
			this.#factor = judgement === 'raised' ? Math.max(SMALLEST_FACTOR, this.#factor / 2) : Math.min(1, this.#factor * RECOVERY);
		}

		if (judgement === 'raised') {
			this.#onSlowed();
		}
	}

	/** Bytes per second that transfers may use now. */
	get bytesPerSecond(): number {
		this.#rollWindow();
		this.#recoverWhenIdle();
		return Math.max(this.#lineRate - this.#liveRate, this.#lineRate * SMALLEST_SHARE) * this.#factor;
	}

	#recoverWhenIdle(): void {
		const now = this.#clock.monotonic();
		if (now - this.#adjustedAt >= IDLE_RECOVERY_MS) {
			this.#adjustedAt = now;
			this.#factor = Math.min(1, this.#factor * RECOVERY);
		}
	}

	#rollWindow(): void {
		const now = this.#clock.monotonic();
		const elapsed = now - this.#windowStart;
		if (elapsed < WINDOW_MS) {
			return;
		}

		this.#liveRate = this.#windowBytes * 1000 / elapsed;
		this.#windowBytes = 0;
		this.#windowStart = now;
	}
}
