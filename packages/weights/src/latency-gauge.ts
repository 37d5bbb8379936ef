/** Tells whether live requests are slower than their recent baseline. */

const MIN_SAMPLES = 20;

/** Samples that the baseline needs before anything can count as raised. */
const MIN_BASELINE_SAMPLES = 60;

/** Latency above this multiple of the baseline, plus the margin, counts as raised. */
const RAISED_RATIO = 1.5;
const RAISED_MARGIN_MS = 5;

/** Standard errors by which the mean must exceed the baseline: streams and whole answers differ by far, so a mean of few scatters. */
const RAISED_ERRORS = 4;
const BASELINE_WEIGHT = 0.1;

/** While latency is raised the baseline follows slowly, so that a long rollout does not become the baseline. */
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

	/** Judges the samples since the last judgement; `undefined` while they are too few. */
	judge(): 'usual' | 'raised' | undefined {
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
		const error = Math.sqrt(Math.max(baseline.variance, variance) * ((1 / count) + (1 / Math.max(1, this.#baselineCount))));
		const isRaised = this.#baselineCount >= MIN_BASELINE_SAMPLES && mean > (baseline.mean * RAISED_RATIO) + RAISED_MARGIN_MS && mean > baseline.mean + (RAISED_ERRORS * error);

		// The first samples count alike, so that the baseline does not rest on the first few.
		const weight = isRaised ? RAISED_WEIGHT : Math.max(BASELINE_WEIGHT, count / (this.#baselineCount + count));
		this.#baselineCount += count;
		this.#baseline = {
			mean: baseline.mean + (weight * (mean - baseline.mean)),
			variance: baseline.variance + (weight * (variance - baseline.variance)),
		};
		return isRaised ? 'raised' : 'usual';
	}
}
