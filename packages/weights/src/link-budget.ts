/** Rate that transfers may use: the line rate less what live requests use, halved while these are slower than usual. */
import type {Clock} from '@yuccawood/common';

const WINDOW_MS = 1000;
const ADJUST_EVERY_MS = 500;
const SMALLEST_FACTOR = 1 / 8;
const RECOVERY = 1.25;

/** Live requests always leave transfers this share of the line, so that a rollout cannot starve. */
const SMALLEST_SHARE = 0.1;

/** Latency above this multiple of the baseline, plus the margin, counts as raised. */
const RAISED_RATIO = 1.5;
const RAISED_MARGIN_MS = 5;
const FAST_WEIGHT = 0.2;
const SLOW_WEIGHT = 0.005;

export class LinkBudget {
	readonly #clock: Clock;
	readonly #lineRate: number;
	#windowStart: number;
	#windowBytes = 0;
	#liveRate = 0;
	#baselineMs: number | undefined;
	#recentMs = 0;
	#factor = 1;
	#adjustedAt: number;

	constructor({clock, bytesPerSecond}: {readonly clock: Clock; readonly bytesPerSecond: number}) {
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
		if (this.#baselineMs === undefined) {
			this.#baselineMs = milliseconds;
			this.#recentMs = milliseconds;
			return;
		}

		this.#recentMs += FAST_WEIGHT * (milliseconds - this.#recentMs);

		// A fall is followed at once and a rise slowly, so that a long rollout does not become the baseline.
		const weight = milliseconds < this.#baselineMs ? FAST_WEIGHT : SLOW_WEIGHT;
		this.#baselineMs += weight * (milliseconds - this.#baselineMs);
		this.#adjust();
	}

	/** Bytes per second that transfers may use now. */
	get bytesPerSecond(): number {
		this.#rollWindow();
		return Math.max(this.#lineRate - this.#liveRate, this.#lineRate * SMALLEST_SHARE) * this.#factor;
	}

	#adjust(): void {
		const now = this.#clock.monotonic();
		if (now - this.#adjustedAt < ADJUST_EVERY_MS) {
			return;
		}

		this.#adjustedAt = now;
		const isRaised = this.#recentMs > (this.#baselineMs! * RAISED_RATIO) + RAISED_MARGIN_MS;
		this.#factor = isRaised ? Math.max(SMALLEST_FACTOR, this.#factor / 2) : Math.min(1, this.#factor * RECOVERY);
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
