/** Forwards a call to agents until one answers: retries repeatable calls, and asks the agent for the outcome of the others. */
import type {Permit} from '@yuccawood/accounts';
import {signalWithTimeout} from '@yuccawood/common';
import {AgentChoice} from './agent-choice.js';
import {Attempt, type AttemptResult, type AttemptFailure} from './attempt.js';
import type {Call} from './call.js';
import type {Claim} from './claims.js';
import type {CallerResponse} from './caller-response.js';
import {AVOID_FAILED_MS, AVOID_MS_BY_REASON} from './constants.js';
import type {EntryContext} from './entry-context.js';
import type {ExecutionOutcome, RequestError, RequestErrorKind} from './errors.js';
import {createFailure} from './failures.js';
import {createForwardedRequest, prepareBody} from './forwarded-request.js';
import {reportDeathOnBrokenConnection, replaceConnections} from './connection-failures.js';
import type {Agent} from './router.js';

type Rejection = Extract<AttemptFailure, {readonly kind: 'rejected'}>;
type ConnectionFailure = Extract<AttemptFailure, {readonly kind: 'failed'}>;

type ForwardingOptions = {
	readonly context: EntryContext;
	readonly call: Call;
	readonly permit: Permit;
	readonly response: CallerResponse;

	/** Claim on the idempotency key of a non-repeatable call. */
	readonly claim?: Claim;
};

/** The attempts of one call, from the first agent to the answer or the failure reported to the caller. */
export class Forwarding {
	readonly #context: EntryContext;
	#call: Call;
	readonly #permit: Permit;
	readonly #response: CallerResponse;
	readonly #claim: Claim | undefined;
	readonly #body: Uint8Array | undefined;
	readonly #agentChoice: AgentChoice;

	/** Whether any attempt so far may have run the call. */
	#mayHaveRun = false;

	constructor({context, call, permit, response, claim}: ForwardingOptions) {
		this.#context = context;
		this.#call = call;
		this.#permit = permit;
		this.#response = response;
		this.#claim = claim;
		this.#body = prepareBody(call, permit);
		this.#agentChoice = new AgentChoice({
			context, call, permit, response,
		});
	}

	/** Whether the call was run, as far as is known after the attempts so far. */
	get #outcome(): ExecutionOutcome {
		return this.#mayHaveRun ? 'unknown' : 'not-run';
	}

	/** Resolves when the caller has its answer or has disconnected. @throws {RequestError} when the call cannot be answered. */
	async run(): Promise<void> {
		this.#context.budget.deposit();
		let lastFailure: RequestError | undefined;
		while (!this.#response.isDisconnected) {
			const agent = await this.#agentChoice.next({failure: lastFailure, outcome: this.#outcome});
			if (!agent) {
				return;
			}

			if (lastFailure) {
				this.#assignNewRequestId();
			}

			const earlierAnswer = await this.#claim?.assign(agent, this.#call.requestId);
			if (earlierAnswer) {
				this.#response.endWithKeptAnswer(earlierAnswer);
				return;
			}

			if (this.#response.isDisconnected) {
				return;
			}

			const result = await this.#attempt(agent);
			if (result.kind === 'answered' || result.kind === 'gone') {
				return;
			}

			lastFailure = await this.#handleFailure(agent, result);
			if (!lastFailure) {
				return;
			}
		}
	}

	/** Each attempt needs its own id, because an agent never runs an id that it reported as not run. */
	#assignNewRequestId(): void {
		const requestId = this.#context.ids.next();
		this.#call = {...this.#call, requestId};
		this.#response.requestId = requestId;
	}

	async #attempt(agent: Agent): Promise<AttemptResult> {
		const {quarantine, crashReview, queues} = this.#context;
		const {target} = this.#call;
		// Counts before the send, so that calls which wait for theirs are not placed beyond the capacity.
		agent.load.ownRequests++;
		queues.admitNext(target);
		try {
			const result = await this.#passGate(agent);
			if (result.kind === 'answered') {
				quarantine.clearSuspicion(this.#call.fingerprint);
				crashReview.recordSuccess(this.#call.suspects);
			}

			return result;
		} finally {
			agent.load.ownRequests--;
			queues.admitNext(target);
		}
	}

	/** Sends the call right after a look at the connections of callers. @throws {RequestError} when the deadline passes before. */
	async #passGate(agent: Agent): Promise<AttemptResult> {
		const {gate, clock} = this.#context;
		const {arrivedAt, deadlineAt} = this.#call;
		const {signal, release} = signalWithTimeout(this.#response.departure, deadlineAt - clock.monotonic());
		const passed = await gate.pass({stage: 'send', signal, arrivedAt}, async () => this.#send(agent));
		release();
		if (passed.kind === 'done') {
			return passed.value;
		}

		if (this.#response.isDisconnected) {
			return {kind: 'gone'};
		}

		throw this.#createLateFailure();
	}

	async #send(agent: Agent): Promise<AttemptResult> {
		const {pools, supervisor, settlement, clock, quarantine} = this.#context;
		const call = this.#call;
		if (this.#response.isDisconnected) {
			return {kind: 'gone'};
		}

		if (clock.monotonic() >= call.deadlineAt) {
			throw this.#createLateFailure();
		}

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
		supervisor.add(attempt);
		try {
			return await attempt.start();
		} finally {
			supervisor.remove(attempt);
		}
	}

	/** Avoids or excludes the agent as the failure requires. @returns the failure to report if no retry is made, or `undefined` when the caller got an answer kept by the agent. */
	async #handleFailure(agent: Agent, failure: AttemptFailure): Promise<RequestError | undefined> {
		const {router} = this.#context;
		if (failure.kind !== 'settled-not-run' && (failure.kind !== 'rejected' || failure.reason !== 'overloaded')) {
			this.#agentChoice.exclude(agent);
		}

		switch (failure.kind) {
			case 'rejected': {
				return this.#handleRejection(agent, failure);
			}

			case 'not-sent': {
				router.avoid(agent, AVOID_FAILED_MS);
				return this.#createFailure('no-agent', 'The agent could not be reached.');
			}

			case 'settled-not-run': {
				replaceConnections(this.#context, {agent, call: this.#call}, 'silent');
				return this.#createFailure('path-failed', 'The request did not reach the agent.');
			}

			case 'unverified': {
				replaceConnections(this.#context, {agent, call: this.#call}, 'unverified');
				router.avoid(agent, AVOID_FAILED_MS);
				return this.#handleUnknownOutcome(agent, 'unverified', 'The response belonged to another request, VM or version.');
			}

			case 'failed': {
				return this.#handleConnectionFailure(agent, failure);
			}
		}
	}

	/** @throws {RequestError} when the deadline has passed, or when a non-repeatable call may have been run. */
	#handleRejection(agent: Agent, {reason, outcome, death}: Rejection): RequestError {
		const {router, metrics, deathReporter} = this.#context;
		metrics.count('requests.rejected', {reason});
		if (reason === 'deadline') {
			// The agent may notice earlier than this entry.
			this.#mayHaveRun ||= outcome !== 'not-run';
			throw this.#createFailure('deadline', 'The deadline passed at the agent.');
		}

		if (reason === 'overloaded') {
			agent.load.recordRejection(this.#context.clock.monotonic());
		}

		if (outcome === 'not-run') {
			// A rejection caused by the request itself must not divert other requests from the agent.
			const avoidMs = AVOID_MS_BY_REASON.get(reason);
			if (avoidMs !== undefined) {
				router.avoid(agent, avoidMs);
			}

			return this.#createFailure(reason === 'overloaded' ? 'overloaded' : 'no-agent', `The agents reject the request: ${reason}.`);
		}

		this.#mayHaveRun = true;
		if (death) {
			router.avoid(agent, AVOID_FAILED_MS);
			deathReporter.report(death, this.#call.suspects);
		}

		const failure = this.#createFailure('upstream-failed', `The upstream failed: ${reason}.`);
		if (!this.#call.repeatable) {
			throw failure;
		}

		return failure;
	}

	/** @throws {RequestError} when a non-repeatable call may have been run and its agent does not respond. */
	async #handleConnectionFailure(agent: Agent, {cause, detail}: ConnectionFailure): Promise<RequestError | undefined> {
		if (cause === 'deadline') {
			return this.#handleUnknownOutcome(agent, 'deadline', detail);
		}

		replaceConnections(this.#context, {agent, call: this.#call}, cause);
		this.#context.router.avoid(agent, AVOID_FAILED_MS);
		if (cause === 'broken') {
			await reportDeathOnBrokenConnection(this.#context, {agent, call: this.#call});
		}

		if (cause === 'agent-silent' && !this.#call.repeatable) {
			this.#mayHaveRun = true;
			throw this.#createFailure('path-failed', detail);
		}

		return this.#handleUnknownOutcome(agent, 'path-failed', detail);
	}

	/** Handles a call that may have been run: a repeatable one can be retried; for another one, the agent is asked for its answer. */
	async #handleUnknownOutcome(agent: Agent, kind: 'path-failed' | 'deadline' | 'unverified', detail: string): Promise<RequestError | undefined> {
		const {settlement, clock} = this.#context;
		if (this.#call.repeatable) {
			this.#mayHaveRun = true;
			const failure = this.#createFailure(kind, detail);
			if (this.#response.hasStarted) {
				throw failure;
			}

			return failure;
		}

		const assignment = {requestId: this.#call.requestId, address: agent.address, incarnation: agent.incarnation};
		const reply = await settlement.fetchAnswer(assignment, () => this.#call.deadlineAt - clock.monotonic());
		if (reply.state === 'not-run') {
			return this.#createFailure(kind, detail);
		}

		if (reply.answer) {
			this.#response.endWithKeptAnswer(reply.answer);
			return undefined;
		}

		this.#mayHaveRun = true;
		throw reply.state === 'completed' ? this.#createFailure('answer-lost', 'The request was completed, but its answer is not available any more.', 'completed') : this.#createFailure(kind, detail);
	}

	#createLateFailure(): RequestError {
		return this.#createFailure('deadline', 'The deadline passed before the request was sent.');
	}

	#createFailure(kind: RequestErrorKind, detail: string, outcome: ExecutionOutcome = this.#outcome): RequestError {
		return createFailure(kind, detail, outcome);
	}
}
