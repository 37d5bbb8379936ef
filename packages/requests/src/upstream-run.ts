/** One request at the upstream, its response passed on to the entry as it arrives. */
import type {Dispatcher} from 'undici';
import {AnswerCapture} from './answer-capture.js';
import {
	ABANDON_MS, MAX_ANSWER_BYTES, MAX_QUERY_INTERVAL_MS, SILENCE_MS,
} from './constants.js';
import {MODEL_VERSION, checkEngineResponse, upstreamFailed} from './engine-response.js';
import {RequestError} from './errors.js';
import type {ResponseSink} from './exchange.js';
import {HedgedExchange} from './hedged-exchange.js';
import {
	VERSION, appendResponseHeaders, single, type ResponseHeaders,
} from './headers.js';
import type {Job, RunEnd, RunEnvironment} from './run-types.js';
import {StreamEnd} from './stream-end.js';
import type {Supervised} from './supervisor.js';

export type UpstreamRunOptions = {
	readonly job: Job;
	readonly environment: RunEnvironment;
	readonly dispatcher: Dispatcher;
};

export class UpstreamRun implements ResponseSink, Supervised {
	readonly #job: Job;
	readonly #environment: RunEnvironment;
	readonly #exchange: HedgedExchange;
	readonly #startedAt: number;
	readonly #end = new StreamEnd();
	readonly #capture: AnswerCapture | undefined;
	#resolve!: (end: RunEnd) => void;
	#isFinished = false;
	#entryIsGone = false;
	#refusal: RequestError | undefined;
	#isPaused = false;
	#isJudging = false;
	#nextJudgementAt = 0;
	#mustEndWithDone = false;
	#status = 0;
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

	async run(): Promise<RunEnd> {
		const ended = new Promise<RunEnd>(resolve => {
			this.#resolve = resolve;
		});
		const {response} = this.#job;
		response.on('close', () => {
			this.#onEntryGone();
		});
		response.on('drain', () => {
			this.#isPaused = false;
			this.#exchange.resume();
		});
		this.#exchange.start();
		return ended;
	}

	onHead(status: number, headers: ResponseHeaders): void {
		const {kind, isVerified, now, onFirstByte} = this.#environment;
		const {head, response, record, identity} = this.#job;
		onFirstByte(now() - this.#startedAt);
		this.#refusal = kind === 'engine' ? checkEngineResponse(status, headers, {model: head.model, isVerified}) : undefined;
		if (this.#refusal) {
			return;
		}

		this.#status = status;
		appendResponseHeaders(this.#headers, headers);
		const version = single(headers[MODEL_VERSION]) ?? '';
		this.#mustEndWithDone = kind === 'engine' && (single(headers['content-type'])?.startsWith('text/event-stream') ?? false);
		if (this.#entryIsGone) {
			return;
		}

		response.writeHead(status, [...identity(), VERSION, version, ...this.#headers]);
		record.headSent = true;
		if (this.#mustEndWithDone) {
			response.flushHeaders();
		}
	}

	onData(chunk: Uint8Array): boolean {
		if (this.#refusal) {
			return true;
		}

		const {response, record} = this.#job;
		this.#environment.onBytes(chunk.byteLength);
		this.#capture?.push(chunk);
		if (this.#mustEndWithDone) {
			this.#end.push(chunk);
		}

		if (this.#entryIsGone) {
			return true;
		}

		record.bytesSent += chunk.byteLength;
		this.#isPaused = !response.write(chunk);
		return !this.#isPaused;
	}

	onEnd(): void {
		if (this.#refusal) {
			this.#fail(this.#refusal);
			return;
		}

		if (this.#mustEndWithDone && !this.#end.isComplete) {
			this.#fail(upstreamFailed('The stream of the upstream ended early.'));
			return;
		}

		const {record, response} = this.#job;
		const answer = this.#capture?.finish(this.#status, this.#headers);
		if (answer) {
			this.#environment.records.keep(record, answer);
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
		// A non-repeatable request goes on after its deadline, so that its caller can still learn what became of it.
		const {deadlineAt, head} = this.#job;
		if (now >= (head.repeatable ? deadlineAt : deadlineAt + ABANDON_MS)) {
			this.#fail(new RequestError({
				kind: 'deadline', detail: 'The deadline passed.', remedy: 'Allow more time.', outcome: 'unknown',
			}));
			return;
		}

		if (!this.#isPaused && !this.#isJudging && now - this.#exchange.progressAt >= SILENCE_MS && now >= this.#nextJudgementAt) {
			void this.#judge();
		}
	}

	async #judge(): Promise<void> {
		this.#isJudging = true;
		const {progressAt} = this.#exchange;
		const verdict = await this.#environment.judgeSilence(this.#job.head, this.#exchange.headReceived);
		this.#isJudging = false;
		this.#nextJudgementAt = this.#environment.now() + MAX_QUERY_INTERVAL_MS;
		if (this.#isFinished || verdict === 'wait' || progressAt !== this.#exchange.progressAt) {
			return;
		}

		if (verdict === 'hedge' && !this.#exchange.isHedged) {
			this.#exchange.hedge(this.#environment.replaceConnections());
			return;
		}

		if (verdict === 'fail') {
			this.#fail(upstreamFailed('The connection to the upstream carries no data.'));
		}
	}

	#onEntryGone(): void {
		if (this.#isFinished) {
			return;
		}

		this.#entryIsGone = true;
		if (this.#job.head.repeatable) {
			this.#job.record.finish('failed');
			this.#finish({kind: 'cancelled'});
			this.#exchange.abort(new Error('The entry closed its connection.'));
			return;
		}

		this.#isPaused = false;

		// A response that was paused for a slow entry must continue, so that its end is recorded.
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

	#finish(end: RunEnd): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#resolve(end);
	}
}
