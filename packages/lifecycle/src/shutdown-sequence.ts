import {
	describeError, TypedError, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import {PROGRESS_LOG_PERIOD_MS, STEP_TIMEOUT_MS} from './constants.js';

/** One step of a shutdown. */
export type ShutdownStep = {
	/** Name in logs and metrics. */
	readonly name: string;

	/** Does the work of the step. The signal aborts when the time limit is reached, or when the step has ended. */
	readonly run: (signal: AbortSignal) => void | Promise<void>;

	/** Milliseconds after which the sequence continues with the next step; `none` waits until this one has ended. */
	readonly limitMs?: number | 'none';
};

/** Result of one step. */
export type StepReport = {
	readonly name: string;
	readonly outcome: 'done' | 'failed' | 'timed-out';
	readonly milliseconds: number;
};

/**
Runs the steps of a planned stop one after another: refuse new work, notify other processes, wait for work in progress, close.

The sequence continues after a step that fails or exceeds its limit. A step that waits for work in progress may run without a limit:
an interrupted request is worse than a late exit, and each request has a deadline.
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

	/** Runs all steps once. Further calls return the result of the same run. */
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
		const stepController = new AbortController();
		const ended = new AbortController();
		try {
			await Promise.race([run(stepController.signal), this.#rejectAfterLimit(name, limitMs, ended.signal)]);
			return 'done';
		} catch (error) {
			const isTimeout = error instanceof TypedError && error.kind === 'step-timeout';
			this.#log.warn(`Shutdown step "${name}" did not finish.`, {error: describeError(error)});
			return isTimeout ? 'timed-out' : 'failed';
		} finally {
			ended.abort();
			stepController.abort();
		}
	}

	/** Rejects when the limit is reached. Without a limit, only logs from time to time that the step still runs. */
	async #rejectAfterLimit(name: string, limitMs: number | 'none', ended: AbortSignal): Promise<void> {
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
