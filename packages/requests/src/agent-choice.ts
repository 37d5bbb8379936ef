/** Chooses the agent for each attempt of one call, within the limits on retries. */
import type {Permit} from '@yuccawood/accounts';
import type {Call} from './call.js';
import type {CallerResponse} from './caller-response.js';
import {AVOID_FULL_MS, MAX_ATTEMPTS} from './constants.js';
import type {EntryContext} from './entry-context.js';
import type {ExecutionOutcome, RequestError} from './errors.js';
import {createFailure, createQuarantineFailure} from './failures.js';
import type {Agent} from './router.js';

type PreviousAttempt = {
	/** Failure of the previous attempt; `undefined` before the first. */
	readonly failure: RequestError | undefined;

	/** Whether any attempt so far may have run the call. */
	readonly outcome: ExecutionOutcome;
};

export class AgentChoice {
	readonly #context: EntryContext;
	readonly #call: Call;
	readonly #permit: Permit;
	readonly #response: CallerResponse;
	readonly #excluded = new Set<string>();
	#attemptCount = 0;

	constructor({context, call, permit, response}: {
		readonly context: EntryContext;
		readonly call: Call;
		readonly permit: Permit;
		readonly response: CallerResponse;
	}) {
		this.#context = context;
		this.#call = call;
		this.#permit = permit;
		this.#response = response;
	}

	/** Excludes the agent from all further attempts of this call. */
	exclude({id}: Agent): void {
		this.#excluded.add(id);
	}

	/** Waits for free capacity and chooses the agent of the next attempt. @returns `undefined` when the caller has disconnected. @throws {RequestError} when there is no agent or no retry is allowed. */
	async next({failure, outcome}: PreviousAttempt): Promise<Agent | undefined> {
		const {router, metrics, clock, quarantine} = this.#context;
		if (failure?.kind === 'overloaded') {
			await clock.sleep(AVOID_FULL_MS);
		}

		if (!this.#context.queues.admitsImmediately(this.#call.target)) {
			await this.#waitInQueue(outcome);
		}

		if (this.#response.isDisconnected) {
			return undefined;
		}

		if (quarantine.isQuarantined(this.#call.fingerprint) || this.#isBlocked) {
			throw createQuarantineFailure(outcome);
		}

		this.#attemptCount++;
		if (failure && !this.#canRetry(failure)) {
			throw failure;
		}

		const agent = router.choose(this.#call.target, {excluded: this.#excluded, prefix: this.#call.prefix});
		if (!agent) {
			throw failure ?? createFailure('no-agent', `No agent of ${this.#call.target.name} takes work.`, outcome);
		}

		if (failure) {
			metrics.count('requests.retries', {reason: failure.kind});
		}

		return agent;
	}

	/** Whether upstreams crashed under a message of the call, unless it is the one call that finds out whether they still do. */
	get #isBlocked(): boolean {
		const {crashReview} = this.#context;
		const blocked = crashReview.blockedAmong(this.#call.suspects);
		return blocked.length > 0 && !crashReview.takeTrials(blocked);
	}

	/** Retries after a rejection by a full agent are limited by the queue, where the call waits again, and take nothing from the budget. */
	#canRetry({kind}: RequestError): boolean {
		const {clock, budget} = this.#context;
		const isInTime = clock.monotonic() < this.#call.deadlineAt;
		return isInTime && (kind === 'overloaded' || (this.#attemptCount <= MAX_ATTEMPTS && budget.withdraw()));
	}

	/** Waits in the queue of the target until one of its agents has free capacity. */
	async #waitInQueue(outcome: ExecutionOutcome): Promise<void> {
		const {target, deadlineAt} = this.#call;
		const {account, priority} = this.#permit;
		const answer = await this.#context.queues.enter(target, {
			account, deadlineAt, weight: priority + 1, isDisconnected: () => this.#response.isDisconnected,
		});
		if (answer !== 'admitted') {
			throw createFailure(answer === 'full' ? 'overloaded' : 'deadline', `All agents of ${target.name} are full.`, outcome);
		}
	}
}
