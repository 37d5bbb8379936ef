/**
Stops an entry in steps: it counts as ready until another entry is, callers open new connections elsewhere, requests that
can't be answered in what is left of the grace are refused, and the others are answered before the process is killed.
*/
import type {Clock, Log} from '@yuccawood/common';
import type {Gateway} from '@yuccawood/gateway';
import {
	ACCEPT_AFTER_SIGTERM_MS, FINAL_ANSWERS_MS, IDLE_CHECK_MS, LAST_ACCEPTS_MS, LAST_REFUSALS_MS, MAX_READY_WHEN_UNSURE_MS, READINESS_ASK_INTERVAL_MS, STOP_MARGIN_MS, UNUSED_STOP_MS,
} from './constants.js';
import type {HandoverClaim} from './handover-claim.js';
import {
	isReplacement, outlasts, readinessLimitMs, staysReady, type EntryState, type ObservedEntry,
} from './handover.js';
import type {OtherEntries} from './readiness-exchange.js';

export type PlannedStopOptions = {
	readonly gateway: Pick<Gateway, 'readDelayMs' | 'unusedMs' | 'beginDraining' | 'stopListening' | 'closeIdleConnections'> & {readonly exchanges: Pick<Gateway['exchanges'], 'limitAnswers' | 'refuseLate' | 'endAll'>};
	readonly others: OtherEntries;
	readonly claim: HandoverClaim;
	readonly clock: Clock;
	readonly log: Log;
};

export class PlannedStop {
	readonly #options: PlannedStopOptions;
	/** Earliest monotonic time in milliseconds at which SIGTERM may have come. */
	#startedAt: number | undefined;

	/** Time after that until which this entry counts as ready, in milliseconds, as far as is known now. */
	#readyForMs = 0;
	#hasClaim = false;
	#claiming: Promise<void> | undefined;

	constructor(options: PlannedStopOptions) {
		this.#options = options;
	}

	get hasBegun(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Whether the load balancer may send connections to this entry. Holds at the moment of the question, however late a decision comes. */
	get isReady(): boolean {
		return this.#startedAt === undefined || this.#stoppingMs < this.#readyForMs;
	}

	/** What the other entries are told. A stopping entry is no help to others that stop. */
	state(canServe: boolean): EntryState {
		if (this.#startedAt !== undefined) {
			return {kind: 'stopping', forMs: this.#stoppingMs};
		}

		return {kind: canServe ? 'ready' : 'starting'};
	}

	/** Resolves when all connections are closed, or when the process has to end. @param graceMs time until the process is killed */
	async run(graceMs: number): Promise<void> {
		const {gateway, clock} = this.#options;
		this.#startedAt = clock.monotonic() - gateway.readDelayMs;
		const closeAt = this.#startedAt + graceMs - STOP_MARGIN_MS;
		const answerBy = closeAt - FINAL_ANSWERS_MS;
		gateway.exchanges.limitAnswers({startedAt: this.#startedAt, answerBy});
		const ended = new AbortController();
		void this.#reviewRequests(answerBy, ended.signal);
		await this.#handOver(graceMs);
		const readyMs = Math.min(this.#stoppingMs, this.#readyForMs);
		this.#readyForMs = 0;
		void this.#returnUnusedClaim(readyMs);
		gateway.beginDraining();
		await clock.sleep(Math.min(ACCEPT_AFTER_SIGTERM_MS, graceMs / 3));
		await this.#acceptUntilReplaced(answerBy - LAST_ACCEPTS_MS);
		await gateway.stopListening({maxWaitMs: Math.max(0, answerBy - LAST_REFUSALS_MS - clock.monotonic())});
		while (await gateway.closeIdleConnections() > 0 && clock.monotonic() < closeAt) {
			await clock.sleep(IDLE_CHECK_MS);
		}

		ended.abort();
	}

	get #stoppingMs(): number {
		return this.#options.clock.monotonic() - this.#startedAt!;
	}

	readonly #isReplacement = (other: ObservedEntry): boolean => isReplacement(other, this.#stoppingMs);

	readonly #outlasts = (other: ObservedEntry): boolean => outlasts(other, this.#stoppingMs);

	/** Resolves when another entry is ready, or when this one may no longer count as ready. */
	async #handOver(graceMs: number): Promise<void> {
		const {others, clock, log} = this.#options;
		const situationWith = (observed: readonly ObservedEntry[]): Parameters<typeof staysReady>[0] => ({
			stoppingMs: this.#stoppingMs, graceMs, isListed: others.isSelfListed(), hasClaim: this.#hasClaim, others: observed,
		});
		this.#readyForMs = readinessLimitMs(situationWith([{kind: 'silent'}]));
		for (;;) {
			const observed = await this.#whileReady(others.ask(this.#isReplacement));
			if (observed === undefined) {
				log.info('No longer ready: the time limit was reached.', {stoppingMs: Math.round(this.#stoppingMs)});
				return;
			}

			const situation = situationWith(observed);
			const stays = staysReady(situation);
			log.info(stays ? 'Still ready while stopping.' : 'No longer ready.', {...situation, stoppingMs: Math.round(situation.stoppingMs)});
			if (!stays) {
				return;
			}

			this.#readyForMs = readinessLimitMs(situation);
			this.#claiming ??= this.#takeClaim();

			await this.#whileReady(clock.sleep(READINESS_ASK_INTERVAL_MS));
		}
	}

	async #takeClaim(): Promise<void> {
		this.#hasClaim = await this.#options.claim.take();
	}

	/** @param readyMs time after SIGTERM for which this entry counted as ready, in milliseconds */
	async #returnUnusedClaim(readyMs: number): Promise<void> {
		await this.#claiming;
		if (this.#hasClaim && readyMs <= MAX_READY_WHEN_UNSURE_MS) {
			await this.#options.claim.giveBack();
		}
	}

	/** @returns the result, or undefined as soon as this entry no longer counts as ready */
	async #whileReady<Result>(work: Promise<Result>): Promise<Result | undefined> {
		const limit = new AbortController();
		try {
			return await Promise.race([work, (async () => {
				await this.#options.clock.sleep(Math.max(0, this.#readyForMs - this.#stoppingMs), limit.signal);
				return undefined;
			})()]);
		} finally {
			limit.abort();
		}
	}

	/**
	While no other entry is ready, the load balancer uses all of them. The one that was stopped last takes connections as long as
	it can answer, and stops when nobody has used it for {@link UNUSED_STOP_MS}.
	*/
	async #acceptUntilReplaced(until: number): Promise<void> {
		const {others, gateway, clock} = this.#options;
		while (clock.monotonic() < until && gateway.unusedMs < UNUSED_STOP_MS) {
			const observed = await Promise.race([others.ask(this.#outlasts), clock.sleep(Math.max(0, until - clock.monotonic()))]);
			if (observed?.some(other => this.#outlasts(other))) {
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
