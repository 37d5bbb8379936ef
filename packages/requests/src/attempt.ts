/** One attempt to forward a call to one agent. */
import type {Dispatcher} from 'undici';
import type {CallerResponse} from './caller-response.js';
import type {Call} from './call.js';
import {ARRIVAL_GRACE_MS, MAX_QUERY_INTERVAL_MS, NO_PROGRESS_TIMEOUT_MS} from './constants.js';
import type {ExecutionOutcome} from './errors.js';
import {Exchange, type ExchangeRequest, type ResponseSink} from './exchange.js';
import {
	DEATH_ID, DEATH_FINGERPRINTS, INCARNATION, LOAD, OUTCOME, REASON, REQUEST_ID, VERSION, VM, singleValue, type ResponseHeaders,
} from './headers.js';
import type {Agent} from './router.js';
import type {SettleResult} from './settlement.js';
import type {PeriodicCheck} from './supervisor.js';
import type {DeathReport} from './types.js';

/**
How an attempt ended.

- `answered`: the whole answer was passed on.
- `rejected`: the agent rejected the request or its upstream failed; `outcome` says whether it was run.
- `not-sent`: no connection was made, so the request was not run.
- `failed`: the connection broke or carried no data, or the deadline passed; whether the request was run is not known.
- `settled-not-run`: the agent confirmed over a new connection that the request was not run and never will be.
- `unverified`: the response belongs to another request, VM, incarnation or version.
- `gone`: the caller closed its connection before the answer was complete.
*/
export type AttemptResult = {readonly kind: 'answered'} | {readonly kind: 'gone'} | AttemptFailure;

export type AttemptFailure =
	| {readonly kind: 'not-sent'} | {readonly kind: 'settled-not-run'} | {readonly kind: 'unverified'}
	| {readonly kind: 'rejected'; readonly reason: string; readonly outcome: ExecutionOutcome; readonly death: DeathReport | undefined}
	| {readonly kind: 'failed'; readonly cause: FailureCause; readonly detail: string};

/**
Why an attempt failed.

- `broken`: the connection broke.
- `silent`: the connection is open but lost data that the agent sent.
- `agent-silent`: the agent does not respond over new connections either, or has been replaced.
- `deadline`: the deadline passed.
*/
export type FailureCause = 'broken' | 'silent' | 'agent-silent' | 'deadline';

export type AttemptOptions = {
	readonly call: Call;
	readonly agent: Agent;
	readonly dispatcher: Dispatcher;
	readonly request: ExchangeRequest;
	readonly response: CallerResponse;

	/** Monotonic time in milliseconds. */
	readonly now: () => number;

	/** Queries the agent about the state of this request over a new connection. */
	readonly query: () => Promise<SettleResult>;
	readonly sleep: (milliseconds: number) => Promise<void>;
};

/** Passes the response of one agent on to the caller, and queries the agent when the connection makes no progress. */
export class Attempt implements ResponseSink, PeriodicCheck {
	/** Resolves with the result when the attempt has ended. */
	readonly #finished: Promise<AttemptResult>;
	readonly #options: AttemptOptions;
	readonly #exchange: Exchange;
	#resolve!: (result: AttemptResult) => void;
	#result: AttemptResult | undefined;

	/** The rejection announced in the response headers; it takes effect at the end of the body. */
	#rejection: AttemptResult | undefined;

	/** Whether the response waits for a slow caller. A paused response makes no progress and does not count as silent. */
	#isPaused = false;
	#isQuerying = false;
	/** Consecutive queries without a reply. */
	#unansweredQueries = 0;
	#nextQueryAt = 0;

	constructor(options: AttemptOptions) {
		this.#options = options;
		this.#finished = new Promise(resolve => {
			this.#resolve = resolve;
		});
		this.#exchange = new Exchange({
			request: options.request, dispatcher: options.dispatcher, sink: this, now: options.now,
		});
		options.response.onWritable = () => {
			this.#isPaused = false;
			this.#exchange.resume();
		};

		options.response.onDisconnected = () => {
			this.#onCallerDisconnected();
		};
	}

	async start(): Promise<AttemptResult> {
		if (!this.#result) {
			this.#exchange.start();
		}

		return this.#finished;
	}

	onHead(status: number, headers: ResponseHeaders): void {
		const {agent, call, response} = this.#options;
		const isWrongIncarnation = headers[REASON] === 'wrong-incarnation';
		if (headers[REQUEST_ID] !== call.requestId || (!isWrongIncarnation && (headers[VM] !== agent.id || headers[INCARNATION] !== String(agent.incarnation)))) {
			this.#finish({kind: 'unverified'});
			return;
		}

		agent.load.recordReport(Number(headers[LOAD] ?? 0), this.#options.now());
		const outcome = singleValue(headers[OUTCOME]);
		if (outcome !== undefined) {
			this.#rejection = {
				kind: 'rejected', reason: singleValue(headers[REASON]) ?? 'unknown', outcome: outcome as ExecutionOutcome, death: readDeathReport(agent.id, headers),
			};
			return;
		}

		if (!this.#isVersionVerified(status, headers)) {
			this.#finish({kind: 'unverified'});
			return;
		}

		response.start(status, headers);
	}

	onData(chunk: Uint8Array): boolean {
		if (this.#rejection) {
			return true;
		}

		this.#isPaused = !this.#options.response.write(chunk);
		return !this.#isPaused;
	}

	onEnd(): void {
		if (this.#rejection) {
			this.#finish(this.#rejection);
			return;
		}

		this.#options.response.end();
		this.#finish({kind: 'answered'});
	}

	onFailure(error: Error): void {
		if (this.#rejection) {
			this.#finish(this.#rejection);
			return;
		}

		this.#finish(this.#exchange.wasSent ? {kind: 'failed', cause: 'broken', detail: error.message} : {kind: 'not-sent'});
	}

	check(now: number): void {
		const {call} = this.#options;
		if (now >= call.deadlineAt) {
			this.#finish({kind: 'failed', cause: 'deadline', detail: 'The deadline passed.'});
			return;
		}

		const isSilent = !this.#isPaused && this.#exchange.wasSent && now - this.#exchange.progressAt >= NO_PROGRESS_TIMEOUT_MS;
		if (isSilent && !this.#isQuerying && now >= this.#nextQueryAt) {
			void this.#queryAgent();
		}
	}

	/** Queries the agent to find out whether the connection lost data or the upstream is slow. */
	async #queryAgent(): Promise<void> {
		this.#isQuerying = true;
		const reply = await this.#options.query();
		await this.#handleQueryResult(reply);
		// After a query without a reply the next one follows at once, so that a silent agent is detected in time.
		this.#nextQueryAt = this.#options.now() + (reply.state === 'silent' ? 0 : MAX_QUERY_INTERVAL_MS);
		this.#isQuerying = false;
	}

	async #handleQueryResult(reply: SettleResult): Promise<void> {
		switch (reply.state) {
			case 'not-run': {
				this.#finish({kind: 'settled-not-run'});
				return;
			}

			case 'gone':
			case 'unknown': {
				this.#finish({kind: 'failed', cause: 'agent-silent', detail: 'The agent was replaced.'});
				return;
			}

			case 'silent': {
				this.#unansweredQueries++;
				if (this.#unansweredQueries >= 2) {
					this.#finish({kind: 'failed', cause: 'agent-silent', detail: 'The agent does not respond over new connections either.'});
				}

				return;
			}

			case 'running':
			case 'completed': {
				this.#unansweredQueries = 0;
				await this.#compareProgress(reply);
			}
		}
	}

	/** Fails the attempt when the agent sent data that has not arrived after a grace period. */
	async #compareProgress({state, headSent, bytesSent}: {readonly state: string; readonly headSent: boolean; readonly bytesSent: number}): Promise<void> {
		const isMissing = (): boolean => state === 'completed' || (headSent && !this.#exchange.headReceived) || bytesSent > this.#exchange.bytesReceived;
		const {progressAt} = this.#exchange;
		if (!isMissing()) {
			return;
		}

		await this.#options.sleep(ARRIVAL_GRACE_MS);
		if (isMissing() && progressAt === this.#exchange.progressAt && !this.#isPaused) {
			this.#finish({kind: 'failed', cause: 'silent', detail: 'Data that the agent sent did not arrive.'});
		}
	}

	/** Whether the response names the version that answered: any verified one, or the pinned one. Plain services and errors have none. */
	#isVersionVerified(status: number, headers: ResponseHeaders): boolean {
		const {target, pinnedVersion} = this.#options.call;
		const version = singleValue(headers[VERSION]);
		if (target.kind === 'service' || status >= 300) {
			return true;
		}

		return version !== undefined && version !== '' && (pinnedVersion === undefined || pinnedVersion === version);
	}

	/** Closing the connection to the agent makes it cancel a repeatable call; it lets a non-repeatable one run to its end. */
	#onCallerDisconnected(): void {
		this.#finish({kind: 'gone'});
	}

	#finish(result: AttemptResult): void {
		if (this.#result) {
			return;
		}

		this.#result = result;
		this.#options.response.onWritable = undefined;
		this.#options.response.onDisconnected = undefined;
		if (result.kind !== 'answered' && result.kind !== 'rejected') {
			this.#exchange.abort(new Error(result.kind));
		}

		this.#resolve(result);
	}
}

const readDeathReport = (vm: string, headers: ResponseHeaders): DeathReport | undefined => {
	const deathId = singleValue(headers[DEATH_ID]);
	return deathId === undefined ? undefined : {deathId, vm, fingerprints: singleValue(headers[DEATH_FINGERPRINTS])?.split(',') ?? []};
};
