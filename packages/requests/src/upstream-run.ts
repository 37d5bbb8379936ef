/** Runs one request at the upstream and passes its response on to the entry as it arrives. */
import type {Dispatcher} from 'undici';
import {AnswerCapture} from './answer-capture.js';
import {
	NON_REPEATABLE_GRACE_MS, MAX_ANSWER_BYTES, MAX_QUERY_INTERVAL_MS, NO_PROGRESS_TIMEOUT_MS,
} from './constants.js';
import {MODEL_VERSION, checkEngineResponse, upstreamFailed} from './engine-response.js';
import {RequestError} from './errors.js';
import type {ResponseSink} from './exchange.js';
import {HedgedExchange} from './hedged-exchange.js';
import {
	VERSION, appendResponseHeaders, singleValue, type ResponseHeaders,
} from './headers.js';
import type {Job, RunResult, RunEnvironment} from './run-types.js';
import {StreamEndDetector} from './stream-end.js';
import type {PeriodicCheck} from './supervisor.js';

export type UpstreamRunOptions = {
	readonly job: Job;
	readonly environment: RunEnvironment;
	readonly dispatcher: Dispatcher;
};

/** Sink of the upstream's response. Keeps the request's record up to date, and the answer to a non-repeatable request. */
export class UpstreamRun implements ResponseSink, PeriodicCheck {
	readonly #job: Job;
	readonly #environment: RunEnvironment;
	readonly #exchange: HedgedExchange;
	readonly #startedAt: number;
	readonly #streamEnd = new StreamEndDetector();
	readonly #capture: AnswerCapture | undefined;
	#resolve!: (result: RunResult) => void;
	#isFinished = false;
	#isEntryDisconnected = false;

	/** Why the response of the engine must not be passed on. */
	#rejection: RequestError | undefined;
	/** Whether the response waits for a slow entry. */
	#isPaused = false;
	#isDiagnosing = false;
	#nextDiagnosisAt = 0;
	/** Whether the response is an event stream of an engine, which is complete only with its end marker. */
	#requiresEndMarker = false;
	#status = 0;
	/** Response headers to pass on; names and values alternate. */
	readonly #headers: string[] = [];

	constructor({job, environment, dispatcher}: UpstreamRunOptions) {
		const {now} = environment;
		this.#job = job;
		this.#environment = environment;
		this.#startedAt = now();
		this.#capture = job.head.repeatable ? undefined : new AnswerCapture();
		this.#exchange = new HedgedExchange({
			request: job.request, dispatcher, sink: this, now,
		});
	}

	async run(): Promise<RunResult> {
		const result = new Promise<RunResult>(resolve => {
			this.#resolve = resolve;
		});
		const {response} = this.#job;
		response.on('close', () => {
			this.#onEntryDisconnected();
		});
		response.on('drain', () => {
			this.#isPaused = false;
			this.#exchange.resume();
		});
		this.#exchange.start();
		return result;
	}

	onHead(status: number, headers: ResponseHeaders): void {
		const {kind, isVerified, now, onResponseHead} = this.#environment;
		const {head, response, record, identityHeaders} = this.#job;
		onResponseHead(now() - this.#startedAt);
		this.#rejection = kind === 'engine' ? checkEngineResponse(status, headers, {model: head.model, isVerified}) : undefined;
		if (this.#rejection) {
			return;
		}

		this.#status = status;
		appendResponseHeaders(this.#headers, headers);
		const version = singleValue(headers[MODEL_VERSION]) ?? '';
		this.#requiresEndMarker = kind === 'engine' && (singleValue(headers['content-type'])?.startsWith('text/event-stream') ?? false);
		if (this.#isEntryDisconnected) {
			return;
		}

		response.writeHead(status, [...identityHeaders(), VERSION, version, ...this.#headers]);
		record.headSent = true;
		if (this.#requiresEndMarker) {
			response.flushHeaders();
		}
	}

	onData(chunk: Uint8Array): boolean {
		if (this.#rejection) {
			return true;
		}

		const {response, record} = this.#job;
		this.#environment.onBytes(chunk.byteLength);
		this.#capture?.push(chunk);
		if (this.#requiresEndMarker) {
			this.#streamEnd.push(chunk);
		}

		if (this.#isEntryDisconnected) {
			return true;
		}

		record.bytesSent += chunk.byteLength;
		this.#isPaused = !response.write(chunk);
		return !this.#isPaused;
	}

	onEnd(): void {
		if (this.#rejection) {
			this.#fail(this.#rejection);
			return;
		}

		if (this.#requiresEndMarker && !this.#streamEnd.isComplete) {
			this.#fail(upstreamFailed('The stream of the upstream ended early.'));
			return;
		}

		const {record, response} = this.#job;
		const answer = this.#capture?.finish(this.#status, this.#headers);
		if (answer) {
			this.#environment.records.keepAnswer(record, answer);
		}

		record.finish('completed');
		response.end();
		this.#finish({kind: 'completed'});
	}

	onFailure(error: Error): void {
		if (this.#isFinished) {
			return;
		}

		this.#fail(this.#exchange.wasSent
			? upstreamFailed(`The connection to the upstream failed: ${error.message}.`)
			: new RequestError({kind: 'upstream-down', detail: `The upstream could not be reached: ${error.message}.`, remedy: 'Send the request again.'}), true);
	}

	check(now: number): void {
		// A non-repeatable request continues after its deadline, so that its caller can still query the outcome.
		const {deadlineAt, head} = this.#job;
		if (now >= (head.repeatable ? deadlineAt : deadlineAt + NON_REPEATABLE_GRACE_MS)) {
			this.#fail(new RequestError({
				kind: 'deadline', detail: 'The deadline passed.', remedy: 'Allow more time.', outcome: 'unknown',
			}));
			return;
		}

		if (!this.#isPaused && !this.#isDiagnosing && now - this.#exchange.progressAt >= NO_PROGRESS_TIMEOUT_MS && now >= this.#nextDiagnosisAt) {
			void this.#handleSilence();
		}
	}

	/** Has the cause of the missing progress diagnosed, and hedges or fails the request unless it made progress meanwhile. */
	async #handleSilence(): Promise<void> {
		this.#isDiagnosing = true;
		const {progressAt} = this.#exchange;
		const action = await this.#environment.diagnoseSilence(this.#job.head, this.#exchange.headReceived);
		this.#isDiagnosing = false;
		this.#nextDiagnosisAt = this.#environment.now() + MAX_QUERY_INTERVAL_MS;
		if (this.#isFinished || action === 'wait' || progressAt !== this.#exchange.progressAt) {
			return;
		}

		if (action === 'hedge' && !this.#exchange.isHedged) {
			this.#exchange.hedge(this.#environment.replaceConnections());
			return;
		}

		if (action === 'fail') {
			this.#fail(upstreamFailed('The connection to the upstream carries no data.'));
		}
	}

	/** Cancels a repeatable request. A non-repeatable one runs to its end, so that its answer can be fetched. */
	#onEntryDisconnected(): void {
		if (this.#isFinished) {
			return;
		}

		this.#isEntryDisconnected = true;
		if (this.#job.head.repeatable) {
			this.#job.record.finish('failed');
			this.#finish({kind: 'cancelled'});
			this.#exchange.abort(new Error('The entry closed its connection.'));
			return;
		}

		this.#isPaused = false;

		// A response paused for a slow entry must be read to its end, so that the outcome is recorded.
		this.#exchange.resume();
	}

	#fail(error: RequestError, isConnectionBroken = false): void {
		if (this.#isFinished) {
			return;
		}

		this.#job.record.finish(error.outcome === 'not-run' ? 'not-run' : 'failed');
		this.#finish({kind: 'failed', error, isConnectionBroken});
		this.#exchange.abort(error);
	}

	#finish(result: RunResult): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#resolve(result);
	}
}
