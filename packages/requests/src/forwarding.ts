/** Has a call answered: chooses agents, retries what may be retried and settles what may not. */
import type {Permit} from '@yuccawood/accounts';
import {AgentChoice} from './agent-choice.js';
import {Attempt, type AttemptEnd, type AttemptFailure} from './attempt.js';
import type {Call} from './call.js';
import type {Claim} from './claims.js';
import type {CallerResponse} from './caller-response.js';
import {AVOID_FAILED_MS, AVOID_MS_BY_REASON} from './constants.js';
import type {EntryContext} from './entry-context.js';
import type {ExecutionOutcome, RequestError, RequestErrorKind} from './errors.js';
import {createFailure} from './failures.js';
import {createForwardedRequest, prepareBody} from './forwarded-request.js';
import {attributeDeath, replacePath} from './path-repair.js';
import type {Agent} from './router.js';

type Rejection = Extract<AttemptFailure, {readonly kind: 'rejected'}>;
type BrokenPath = Extract<AttemptFailure, {readonly kind: 'failed'}>;

type ForwardingOptions = {
	readonly context: EntryContext;
	readonly call: Call;
	readonly permit: Permit;
	readonly response: CallerResponse;

	/** Claim on the idempotency key of a non-repeatable call. */
	readonly claim?: Claim;
};

export class Forwarding {
	readonly #context: EntryContext;
	#call: Call;
	readonly #permit: Permit;
	readonly #response: CallerResponse;
	readonly #claim: Claim | undefined;
	readonly #body: Uint8Array | undefined;
	readonly #choice: AgentChoice;
	#mayHaveRun = false;

	constructor({context, call, permit, response, claim}: ForwardingOptions) {
		this.#context = context;
		this.#call = call;
		this.#permit = permit;
		this.#response = response;
		this.#claim = claim;
		this.#body = prepareBody(call, permit);
		this.#choice = new AgentChoice({
			context, call, permit, response,
		});
	}

	get #outcome(): ExecutionOutcome {
		return this.#mayHaveRun ? 'unknown' : 'not-run';
	}

	/** Resolves when the caller has its answer or is gone. @throws {RequestError} when there is none. */
	async run(): Promise<void> {
		this.#context.budget.deposit();
		let lastFailure: RequestError | undefined;
		while (!this.#response.isGone) {
			const agent = await this.#choice.next({failure: lastFailure, outcome: this.#outcome});
			if (lastFailure) {
				this.#renewId();
			}

			const earlier = await this.#claim?.assign(agent, this.#call.requestId);
			if (earlier) {
				this.#response.finish(earlier);
				return;
			}

			const end = await this.#attempt(agent);
			if (end.kind === 'answered' || end.kind === 'gone') {
				return;
			}

			lastFailure = await this.#handleFailure(agent, end);
			if (!lastFailure) {
				return;
			}
		}
	}

	/** Each attempt has its own id, because an agent never runs an id that it settled as not run. */
	#renewId(): void {
		const requestId = this.#context.ids.next();
		this.#call = {...this.#call, requestId};
		this.#response.requestId = requestId;
	}

	async #attempt(agent: Agent): Promise<AttemptEnd> {
		const {pools, supervisor, settlement, clock, quarantine, queues} = this.#context;
		const call = this.#call;
		const attempt = new Attempt({
			call,
			agent,
			dispatcher: pools.get(agent.address),
			request: createForwardedRequest({
				call, agent, permit: this.#permit, body: this.#body, isSuspect: quarantine.isSuspect(call.fingerprint), now: clock.monotonic(),
			}),
			response: this.#response,
			now: clock.monotonic,
			sleep: clock.sleep,
			query: async () => settlement.query({requestId: call.requestId, address: agent.address, incarnation: agent.incarnation}),
		});
		agent.load.own++;
		supervisor.add(attempt);
		queues.pump(call.target);
		try {
			const end = await attempt.start();
			if (end.kind === 'answered') {
				quarantine.clear(this.#call.fingerprint);
			}

			return end;
		} finally {
			supervisor.remove(attempt);
			agent.load.own--;
			queues.pump(call.target);
		}
	}

	/** @returns the failure to report if no other attempt is made, or `undefined` when the caller has an answer after all. */
	async #handleFailure(agent: Agent, end: AttemptFailure): Promise<RequestError | undefined> {
		const {router} = this.#context;
		if (end.kind !== 'settled-not-run' && (end.kind !== 'rejected' || end.reason !== 'overloaded')) {
			this.#choice.exclude(agent);
		}

		switch (end.kind) {
			case 'rejected': {
				return this.#handleRejection(agent, end);
			}

			case 'not-sent': {
				router.avoid(agent, AVOID_FAILED_MS);
				return this.#failure('no-agent', 'The agent could not be reached.');
			}

			case 'settled-not-run': {
				replacePath(this.#context, {agent, call: this.#call}, 'silent');
				return this.#failure('path-failed', 'The request did not reach the agent.');
			}

			case 'unverified': {
				replacePath(this.#context, {agent, call: this.#call}, 'unverified');
				router.avoid(agent, AVOID_FAILED_MS);
				return this.#settle(agent, 'unverified', 'The response belonged to another request, VM or version.');
			}

			case 'failed': {
				return this.#handleBrokenPath(agent, end);
			}
		}
	}

	#handleRejection(agent: Agent, {reason, outcome, death}: Rejection): RequestError {
		const {router, metrics, deaths} = this.#context;
		metrics.count('requests.rejected', {reason});
		if (reason === 'overloaded') {
			agent.load.reportFull(this.#context.clock.monotonic());
		}

		if (outcome === 'not-run') {
			// A rejection that is due to the request itself must not keep other requests from the agent.
			const avoidMs = AVOID_MS_BY_REASON.get(reason);
			if (avoidMs !== undefined) {
				router.avoid(agent, avoidMs);
			}

			return this.#failure(reason === 'overloaded' ? 'overloaded' : 'no-agent', `The agents reject the request: ${reason}.`);
		}

		this.#mayHaveRun = true;
		if (death) {
			router.avoid(agent, AVOID_FAILED_MS);
			deaths.report(death);
		}

		const failure = this.#failure('upstream-failed', `The upstream failed: ${reason}.`);
		if (!this.#call.repeatable) {
			throw failure;
		}

		return failure;
	}

	async #handleBrokenPath(agent: Agent, {cause, detail}: BrokenPath): Promise<RequestError | undefined> {
		if (cause === 'deadline') {
			return this.#settle(agent, 'deadline', detail);
		}

		replacePath(this.#context, {agent, call: this.#call}, cause);
		this.#context.router.avoid(agent, AVOID_FAILED_MS);
		if (cause === 'broken') {
			await attributeDeath(this.#context, {agent, call: this.#call});
		}

		if (cause === 'agent-silent' && !this.#call.repeatable) {
			this.#mayHaveRun = true;
			throw this.#failure('path-failed', detail);
		}

		return this.#settle(agent, 'path-failed', detail);
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

	#failure(kind: RequestErrorKind, detail: string, outcome: ExecutionOutcome = this.#outcome): RequestError {
		return createFailure(kind, detail, outcome);
	}
}
