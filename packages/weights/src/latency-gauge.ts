/** Detects whether live requests are slower than their recent baseline. */

/** Samples needed for one evaluation. */
const MIN_SAMPLES = 20;

/** Samples that the baseline must contain before latency can count as raised. */
const MIN_BASELINE_SAMPLES = 60;

/** Latency above this multiple of the baseline, plus the margin, counts as raised. */
const RAISED_RATIO = 1.5;
const RAISED_MARGIN_MS = 5;

/**
Number of standard errors by which the mean must exceed the baseline. Streamed and complete responses differ widely in
latency, so the mean of a few samples varies a lot.
*/
const RAISED_STANDARD_ERRORS = 4;

/** Weight of new samples in the baseline. */
const BASELINE_WEIGHT = 0.1;

/**
Weight of new samples while latency is raised. It is small so that the latency during a long rollout does not become the
baseline.
*/
const RAISED_WEIGHT = 0.005;

export class LatencyGauge {
	#baselineCount = 0;
	#count = 0;
	#sum = 0;
	#sumOfSquares = 0;
	#baseline: {readonly mean: number; readonly variance: number} | undefined;

	record(milliseconds: number): void {
		this.#count++;
		this.#sum += milliseconds;
		this.#sumOfSquares += milliseconds * milliseconds;
	}

	/** Compares the samples since the last evaluation with the baseline. @returns `undefined` while there are too few samples. */
	evaluate(): 'usual' | 'raised' | undefined {
		if (this.#count < MIN_SAMPLES) {
			return undefined;
		}

		const count = this.#count;
		const mean = this.#sum / count;
		const variance = Math.max(0, (this.#sumOfSquares / count) - (mean * mean));
		this.#count = 0;
		this.#sum = 0;
		this.#sumOfSquares = 0;
		const baseline = this.#baseline ?? {mean, variance};
		const standardError = Math.sqrt(Math.max(baseline.variance, variance) * ((1 / count) + (1 / Math.max(1, this.#baselineCount))));
		const isRaised = this.#baselineCount >= MIN_BASELINE_SAMPLES && mean > (baseline.mean * RAISED_RATIO) + RAISED_MARGIN_MS && mean > baseline.mean + (RAISED_STANDARD_ERRORS * standardError);

		// At first all samples have the same weight, so that the very first ones do not dominate the baseline.
		const weight = isRaised ? RAISED_WEIGHT : Math.max(BASELINE_WEIGHT, count / (this.#baselineCount + count));
		this.#baselineCount += count;
		this.#baseline = {
			mean: baseline.mean + (weight * (mean - baseline.mean)),
			variance: baseline.variance + (weight * (variance - baseline.variance)),
		};
		return isRaised ? 'raised' : 'usual';
	}
}
