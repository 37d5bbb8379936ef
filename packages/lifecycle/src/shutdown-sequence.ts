import {
	describeError, TypedError, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import {PROGRESS_LOG_PERIOD_MS, STEP_TIMEOUT_MS} from './constants.js';

/** One step of a shutdown. Steps run one after another. */
export type ShutdownStep = {
	readonly name: string;

	/** Stops early when the signal aborts, which happens when the time of the step is over. */
	readonly run: (signal: AbortSignal) => void | Promise<void>;

	/** Time after which the sequence goes on without the step; `none` waits until it has ended. */
	readonly limitMs?: number | 'none';
};

export type StepReport = {
	readonly name: string;
	readonly outcome: 'done' | 'failed' | 'timed-out';
	readonly milliseconds: number;
};

/**
Steps of a planned stop in order: refuse new work, tell others, wait for work in progress, close.

A failed or slow step does not keep the later ones from running. The step that waits for work has no limit, because cutting a
request off is worse than a late exit, and every request has a deadline.
*/
export class ShutdownSequence {
	readonly #steps: readonly ShutdownStep[];
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #metrics: Metrics;
	readonly #defaultLimitMs: number;
	#running: Promise<readonly StepReport[]> | undefined;

	constructor({steps, clock, log, metrics, defaultLimitMs = STEP_TIMEOUT_MS}: {
		readonly steps: readonly ShutdownStep[];
		readonly clock: Clock;
		readonly log: Log;
		readonly metrics: Metrics;
		readonly defaultLimitMs?: number;
	}) {
		this.#steps = steps;
		this.#clock = clock;
		this.#log = log;
		this.#metrics = metrics;
		this.#defaultLimitMs = defaultLimitMs;
	}

	/** Runs all steps once; repeated calls wait for the same run. */
	async run(): Promise<readonly StepReport[]> {
		this.#running ??= this.#runAll();
		return this.#running;
	}

	async #runAll(): Promise<readonly StepReport[]> {
		const reports: StepReport[] = [];
		for (const step of this.#steps) {
			const startedAt = this.#clock.monotonic();
			const outcome = await this.#runStep(step);
			const milliseconds = Math.round(this.#clock.monotonic() - startedAt);
			reports.push({name: step.name, outcome, milliseconds});
			this.#log.info(`Shutdown step "${step.name}" ${outcome}.`, {milliseconds});
			this.#metrics.timing('lifecycle.shutdown_step', milliseconds, {step: step.name, outcome});
		}

		return reports;
	}

	async #runStep({name, run, limitMs = this.#defaultLimitMs}: ShutdownStep): Promise<StepReport['outcome']> {
		const late = new AbortController();
		const ended = new AbortController();
		try {
			await Promise.race([run(late.signal), this.#limit(name, limitMs, ended.signal)]);
			return 'done';
		} catch (error) {
			const isLate = error instanceof TypedError && error.kind === 'step-timeout';
			this.#log.warn(`Shutdown step "${name}" did not finish.`, {error: describeError(error)});
			return isLate ? 'timed-out' : 'failed';
		} finally {
			ended.abort();
			late.abort();
		}
	}

	/** Rejects when the time is over. Without a limit it only logs that the step still runs. */
	async #limit(name: string, limitMs: number | 'none', ended: AbortSignal): Promise<void> {
		if (limitMs === 'none') {
			await this.#logProgress(name, ended);
			return;
		}

		await this.#clock.sleep(limitMs, ended);
		if (!ended.aborted) {
			throw new TypedError({kind: 'step-timeout', detail: `Step took longer than ${limitMs} ms.`, remedy: 'The shutdown goes on with the next step.'});
		}
	}

	async #logProgress(name: string, ended: AbortSignal): Promise<void> {
		while (!ended.aborted) {
			await this.#clock.sleep(PROGRESS_LOG_PERIOD_MS, ended);
			if (!ended.aborted) {
				this.#log.info(`Shutdown step "${name}" still runs.`);
			}
		}
	}
}
