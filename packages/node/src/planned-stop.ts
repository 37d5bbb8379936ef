/**
Stops an entry in steps: it counts as ready until another entry is, callers open new connections elsewhere, requests that
can't be answered in what is left of the grace are refused, and the others are answered before the process is killed.
*/
import type {Clock, Log} from '@yuccawood/common';
import type {Gateway} from '@yuccawood/gateway';
import {
	ACCEPT_AFTER_SIGTERM_MS, FINAL_ANSWERS_MS, IDLE_CHECK_MS, READINESS_ASK_INTERVAL_MS, STOP_MARGIN_MS,
} from './constants.js';
import {staysReady, type EntryState} from './handover.js';
import type {OtherEntries} from './readiness-exchange.js';

export type PlannedStopOptions = {
	readonly gateway: Pick<Gateway, 'beginDraining' | 'stopListening' | 'closeIdleConnections'> & {readonly exchanges: Pick<Gateway['exchanges'], 'limitAnswers' | 'refuseLate' | 'endAll'>};
	readonly others: OtherEntries;
	readonly clock: Clock;
	readonly log: Log;
};

export class PlannedStop {
	readonly #options: PlannedStopOptions;
	#startedAt: number | undefined;
	#hasLeft = false;

	constructor(options: PlannedStopOptions) {
		this.#options = options;
	}

	get hasBegun(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Whether the load balancer may send connections to this entry. */
	get isReady(): boolean {
		return !this.#hasLeft;
	}

	/** What the other entries are told. A stopping entry is no help to others that stop. */
	state(canServe: boolean): EntryState {
		if (this.#startedAt !== undefined) {
			return {kind: 'stopping', forMs: this.#options.clock.monotonic() - this.#startedAt};
		}

		return {kind: canServe ? 'ready' : 'starting'};
	}

	/** Resolves when all connections are closed, or when the process has to end. @param graceMs time until the process is killed */
	async run(graceMs: number): Promise<void> {
		const {gateway, clock} = this.#options;
		this.#startedAt = clock.monotonic();
		const closeAt = this.#startedAt + graceMs - STOP_MARGIN_MS;
		gateway.exchanges.limitAnswers(closeAt - FINAL_ANSWERS_MS);
		const ended = new AbortController();
		void this.#reviewRequests(closeAt - FINAL_ANSWERS_MS, ended.signal);
		await this.#handOver(this.#startedAt, graceMs);
		this.#hasLeft = true;
		gateway.beginDraining();
		await clock.sleep(Math.min(ACCEPT_AFTER_SIGTERM_MS, graceMs / 3));
		await gateway.stopListening();
		while (await gateway.closeIdleConnections() > 0 && clock.monotonic() < closeAt) {
			await clock.sleep(IDLE_CHECK_MS);
		}

		ended.abort();
	}

	/** Resolves when another entry is ready, or when this one may no longer count as ready. */
	async #handOver(startedAt: number, graceMs: number): Promise<void> {
		const {others, clock, log} = this.#options;
		for (;;) {
			const observed = await others.ask();
			const situation = {
				stoppingMs: clock.monotonic() - startedAt, graceMs, isListed: others.isSelfListed(), others: observed,
			};
			const stays = staysReady(situation);
			log.info(stays ? 'Still ready while stopping.' : 'No longer ready.', {...situation, stoppingMs: Math.round(situation.stoppingMs)});
			if (!stays) {
				return;
			}

			await clock.sleep(READINESS_ASK_INTERVAL_MS);
		}
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
