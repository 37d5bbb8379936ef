/** Has a call answered: chooses agents, retries what may be retried and settles what may not. */
import type {Permit} from '@yuccawood/accounts';
import {Attempt, type AttemptEnd, type AttemptFailure} from './attempt.js';
import type {Call} from './call.js';
import type {CallerResponse} from './caller-response.js';
import {
	AVOID_FAILED_MS, AVOID_LEAVING_MS, MAX_ATTEMPTS, RETRY_AFTER_SECONDS,
} from './constants.js';
import type {EntryContext} from './entry-context.js';
import {RequestError, type ExecutionOutcome, type RequestErrorKind} from './errors.js';
import type {ExchangeRequest} from './exchange.js';
import {
	ACCOUNT, DEADLINE_MS, FINGERPRINT, INCARNATION, MODEL, PRIORITY, REPEATABLE, REQUEST_ID, VERSION, VM, appendRequestHeaders,
} from './headers.js';
import type {Agent} from './router.js';

type ForwardingOptions = {
	readonly context: EntryContext;
	readonly call: Call;
	readonly permit: Permit;
	readonly response: CallerResponse;

	/** Records the assignment before the call is forwarded, for calls with an idempotency key. */
	readonly onAssign?: (agent: Agent) => Promise<void>;
};

export class Forwarding {
	readonly #context: EntryContext;
	readonly #call: Call;
	readonly #permit: Permit;
	readonly #response: CallerResponse;
	readonly #onAssign: ((agent: Agent) => Promise<void>) | undefined;
	readonly #excluded = new Set<string>();
	#mayHaveRun = false;

	constructor({context, call, permit, response, onAssign}: ForwardingOptions) {
		this.#context = context;
		this.#call = call;
		this.#permit = permit;
		this.#response = response;
		this.#onAssign = onAssign;
	}

	/** Resolves when the caller has its answer or is gone. @throws {RequestError} when there is none. */
	async run(): Promise<void> {
		this.#context.budget.deposit();
		let lastFailure: RequestError | undefined;
		for (let attempt = 1; !this.#response.isGone; attempt++) {
			const agent = this.#choose(attempt, lastFailure);
			await this.#onAssign?.(agent);
			const end = await this.#attempt(agent);
			if (end.kind === 'answered' || end.kind === 'gone') {
				return;
			}

			this.#excluded.add(agent.id);
			lastFailure = await this.#handleFailure(agent, end);
			if (!lastFailure) {
				return;
			}
		}
	}

	#choose(attempt: number, lastFailure: RequestError | undefined): Agent {
		const {router, budget, clock, metrics} = this.#context;
		if (lastFailure && (attempt > MAX_ATTEMPTS || clock.monotonic() >= this.#call.deadlineAt || !budget.withdraw())) {
			throw lastFailure;
		}

		const agent = router.choose(this.#call.target, {excluded: this.#excluded, prefix: this.#call.prefix});
		if (!agent) {
			throw lastFailure ?? new RequestError({
				kind: 'no-agent', detail: `No agent of ${this.#call.target.name} takes work.`, remedy: 'Try again later.', retryAfterSeconds: RETRY_AFTER_SECONDS,
			});
		}

		if (lastFailure) {
			metrics.count('requests.retries', {reason: lastFailure.kind});
		}

		return agent;
	}

	async #attempt(agent: Agent): Promise<AttemptEnd> {
		const {pools, supervisor, settlement, clock} = this.#context;
		const attempt = new Attempt({
			call: this.#call,
			agent,
			dispatcher: pools.get(agent.address),
			request: this.#request(agent),
			response: this.#response,
			now: clock.monotonic,
			sleep: clock.sleep,
			query: async () => settlement.query({requestId: this.#call.requestId, address: agent.address, incarnation: agent.incarnation}),
		});
		agent.load.own++;
		supervisor.add(attempt);
		try {
			return await attempt.start();
		} finally {
			supervisor.remove(attempt);
			agent.load.own--;
		}
	}

	#request(agent: Agent): ExchangeRequest {
		const {
			method, path, body, requestId, deadlineAt, fingerprint, repeatable, target, pinnedVersion, rawHeaders, connection,
		} = this.#call;
		const headers = [
			REQUEST_ID,
			requestId,
			VM,
			agent.id,
			INCARNATION,
			String(agent.incarnation),
			DEADLINE_MS,
			String(Math.max(0, Math.ceil(deadlineAt - this.#context.clock.monotonic()))),
			ACCOUNT,
			this.#permit.account,
			PRIORITY,
			String(this.#permit.priority),
			FINGERPRINT,
			fingerprint,
			REPEATABLE,
			repeatable ? 'yes' : 'no',
		];
		if (target.kind === 'model') {
			headers.push(MODEL, encodeURIComponent(target.name));
		}

		if (pinnedVersion !== undefined) {
			headers.push(VERSION, pinnedVersion);
		}

		appendRequestHeaders(headers, rawHeaders, connection);
		return {
			method, path: `/requests${path}`, headers, body,
		};
	}

	/** @returns the failure to report if no other attempt is made, or `undefined` when the caller has an answer after all. */
	async #handleFailure(agent: Agent, end: AttemptFailure): Promise<RequestError | undefined> {
		switch (end.kind) {
			case 'rejected': {
				return this.#handleRejection(agent, end.reason, end.outcome);
			}

			case 'not-sent': {
				this.#context.router.avoid(agent, AVOID_FAILED_MS);
				return this.#failure('no-agent', 'The agent could not be reached.');
			}

			case 'settled-not-run': {
				this.#replacePath(agent, 'silent');
				return this.#failure('path-failed', 'The request did not reach the agent.');
			}

			case 'unverified': {
				this.#replacePath(agent, 'unverified');
				return this.#settle(agent, 'unverified', 'The response belonged to another request, VM or version.');
			}

			case 'failed': {
				if (end.cause !== 'deadline') {
					this.#replacePath(agent, end.cause);
				}

				return this.#settle(agent, end.cause === 'deadline' ? 'deadline' : 'path-failed', end.detail);
			}
		}
	}

	async #handleRejection(agent: Agent, reason: string, outcome: ExecutionOutcome): Promise<RequestError> {
		const {router, metrics} = this.#context;
		metrics.count('requests.rejected', {reason});
		if (outcome === 'not-run') {
			if (reason !== 'overloaded' && reason !== 'suspect-running') {
				router.avoid(agent, reason === 'leaving' ? AVOID_LEAVING_MS : AVOID_FAILED_MS);
			}

			return this.#failure(reason === 'overloaded' ? 'overloaded' : 'no-agent', `The agents reject the request: ${reason}.`);
		}

		this.#mayHaveRun = true;
		const failure = this.#failure('upstream-failed', `The upstream failed: ${reason}.`);
		if (!this.#call.repeatable) {
			throw failure;
		}

		return failure;
	}

	/** Decides about a call that may have been run. */
	async #settle(agent: Agent, kind: 'path-failed' | 'deadline' | 'unverified', detail: string): Promise<RequestError | undefined> {
		const {settlement, clock} = this.#context;
		if (this.#call.repeatable) {
			this.#mayHaveRun = true;
			const failure = this.#failure(kind, detail);
			if (this.#response.isBegun) {
				throw failure;
			}

			return failure;
		}

		const assignment = {requestId: this.#call.requestId, address: agent.address, incarnation: agent.incarnation};
		const settled = await settlement.fetchAnswer(assignment, () => this.#call.deadlineAt - clock.monotonic());
		if (settled.state === 'not-run') {
			return this.#failure(kind, detail);
		}

		if (settled.answer) {
			this.#response.finish(settled.answer);
			return undefined;
		}

		this.#mayHaveRun = true;
		throw settled.state === 'completed' ? this.#failure('answer-lost', 'The request was completed, but its answer is not available any more.', 'completed') : this.#failure(kind, detail);
	}

	#replacePath(agent: Agent, cause: string): void {
		const {pools, router, metrics, log} = this.#context;
		pools.replace(agent.address);
		router.avoid(agent, AVOID_FAILED_MS);
		metrics.count('requests.paths_replaced', {cause});
		log.warn('Replaced the connections to an agent.', {vm: agent.id, cause, requestId: this.#call.requestId});
	}

	#failure(kind: RequestErrorKind, detail: string, outcome: ExecutionOutcome = this.#mayHaveRun ? 'unknown' : 'not-run'): RequestError {
		const remedy = outcome === 'not-run' ? 'Send the request again.' : 'Check whether the request took effect before sending it again.';
		return new RequestError({
			kind, detail, remedy, outcome, ...(outcome === 'not-run' && {retryAfterSeconds: RETRY_AFTER_SECONDS}),
		});
	}
}
