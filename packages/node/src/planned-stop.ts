/**
Stops an entry in steps: callers open new connections elsewhere, requests that can't be answered in what is left of the grace
are refused, and the others are answered before the process is killed.
*/
import type {Clock} from '@yuccawood/common';
import type {Gateway} from '@yuccawood/gateway';
import {
	ACCEPT_AFTER_SIGTERM_MS, FINAL_ANSWERS_MS, IDLE_CHECK_MS, STOP_MARGIN_MS,
} from './constants.js';

export type PlannedStopOptions = {
	readonly gateway: Pick<Gateway, 'beginDraining' | 'stopListening' | 'closeIdleConnections'> & {readonly exchanges: Pick<Gateway['exchanges'], 'limitAnswers' | 'refuseLate' | 'endAll'>};
	readonly clock: Clock;
};

export class PlannedStop {
	readonly #options: PlannedStopOptions;
	#startedAt: number | undefined;

	constructor(options: PlannedStopOptions) {
		this.#options = options;
	}

	get hasBegun(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Whether the load balancer may send connections to this entry. */
	get isReady(): boolean {
		return !this.hasBegun;
	}

	/** Resolves when all connections are closed, or when the process has to end. @param graceMs time until the process is killed */
	async run(graceMs: number): Promise<void> {
		const {gateway, clock} = this.#options;
		this.#startedAt = clock.monotonic();
		const closeAt = this.#startedAt + graceMs - STOP_MARGIN_MS;
		gateway.exchanges.limitAnswers(closeAt - FINAL_ANSWERS_MS);
		gateway.beginDraining();
		const ended = new AbortController();
		void this.#reviewRequests(closeAt - FINAL_ANSWERS_MS, ended.signal);
		await clock.sleep(Math.min(ACCEPT_AFTER_SIGTERM_MS, graceMs / 3));
		gateway.stopListening();
		while (await gateway.closeIdleConnections() > 0 && clock.monotonic() < closeAt) {
			await clock.sleep(IDLE_CHECK_MS);
		}

		ended.abort();
	}

	async #reviewRequests(answerBy: number, signal: AbortSignal): Promise<void> {
		const {gateway: {exchanges}, clock} = this.#options;
		while (!signal.aborted && clock.monotonic() < answerBy) {
			exchanges.refuseLate();
			await clock.sleep(IDLE_CHECK_MS, signal);
		}

		if (!signal.aborted) {
			exchanges.endAll();
		}
	}
}
