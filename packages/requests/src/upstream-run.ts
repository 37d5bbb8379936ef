/** One request at the upstream, its response passed on to the entry as it arrives. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ServedVersion} from '@yuccawood/membership';
import type {Dispatcher} from 'undici';
import {ABANDON_MS, MAX_ANSWER_BYTES} from './constants.js';
import {RequestError} from './errors.js';
import {Exchange, type ExchangeRequest, type ResponseSink} from './exchange.js';
import type {ForwardedHead} from './forwarded-head.js';
import {
	VERSION, appendResponseHeaders, single, type ResponseHeaders,
} from './headers.js';
import type {RequestRecord, RequestRecords} from './request-records.js';
import {StreamEnd} from './stream-end.js';
import type {Supervised} from './supervisor.js';

/** Header in which an engine names the manifest hash of the version that answers. */
const MODEL_VERSION = 'x-model-version';

/** Statuses with which an engine refuses a request without running it: model not active, and queue full. */
const ENGINE_REFUSALS: ReadonlyMap<number, 'wrong-version' | 'overloaded'> = new Map([[404, 'wrong-version'], [409, 'wrong-version'], [503, 'overloaded']]);

export type UpstreamRunOptions = {
	readonly head: ForwardedHead;
	readonly kind: 'engine' | 'service';
	readonly request: ExchangeRequest;
	readonly dispatcher: Dispatcher;
	readonly response: ServerResponse;
	readonly record: RequestRecord;
	readonly records: RequestRecords;
	readonly serving: () => readonly ServedVersion[];

	/** Headers that identify the response to the entry, as names and values in turn. */
	readonly identity: () => readonly string[];
	readonly now: () => number;
	readonly deadlineAt: number;
	readonly onFirstByte: (milliseconds: number) => void;
	readonly onBytes: (bytes: number) => void;
};

/** How a run ended: the answer was passed on or kept, the caller gave up, or it failed. */
export type RunEnd = {readonly kind: 'completed' | 'cancelled'} | {readonly kind: 'failed'; readonly error: RequestError; readonly wasSent: boolean};

export class UpstreamRun implements ResponseSink, Supervised {
	readonly #options: UpstreamRunOptions;
	readonly #exchange: Exchange;
	readonly #startedAt: number;
	readonly #end = new StreamEnd();
	#resolve!: (end: RunEnd) => void;
	#isFinished = false;
	#entryIsGone = false;
	#refusal: RequestError | undefined;
	#mustEndWithDone = false;
	#status = 0;
	readonly #headers: string[] = [];
	#captured: Uint8Array[] | undefined;
	#capturedBytes = 0;

	constructor(options: UpstreamRunOptions) {
		this.#options = options;
		this.#startedAt = options.now();
		this.#captured = options.head.repeatable ? undefined : [];
		this.#exchange = new Exchange({
			...options.request, dispatcher: options.dispatcher, sink: this, now: options.now,
		});
	}

	async run(): Promise<RunEnd> {
		const ended = new Promise<RunEnd>(resolve => {
			this.#resolve = resolve;
		});
		const {response} = this.#options;
		response.on('close', () => {
			this.#onEntryGone();
		});
		response.on('drain', () => {
			this.#exchange.resume();
		});
		this.#exchange.start();
		return ended;
	}

	onHead(status: number, headers: ResponseHeaders): void {
		const {kind, response, record, identity, now, onFirstByte} = this.#options;
		onFirstByte(now() - this.#startedAt);
		this.#refusal = kind === 'engine' ? this.#refuse(status, headers) : undefined;
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

		const {response, record, onBytes} = this.#options;
		onBytes(chunk.byteLength);
		this.#capture(chunk);
		if (this.#mustEndWithDone) {
			this.#end.push(chunk);
		}

		if (this.#entryIsGone) {
			return true;
		}

		record.bytesSent += chunk.byteLength;
		return response.write(chunk);
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

		this.#keepAnswer();
		this.#options.record.finish('completed');
		this.#options.response.end();
		this.#finish({kind: 'completed'});
	}

	onFailure(error: Error): void {
		if (this.#isFinished) {
			return;
		}

		this.#fail(this.#exchange.sent
			? upstreamFailed(`The connection to the upstream failed: ${error.message}.`)
			: new RequestError({kind: 'upstream-down', detail: `The upstream could not be reached: ${error.message}.`, remedy: 'Send the request again.'}));
	}

	check(now: number): void {
		// A non-repeatable request goes on after its deadline, so that its caller can still learn what became of it.
		const {deadlineAt, head} = this.#options;
		if (now >= (head.repeatable ? deadlineAt : deadlineAt + ABANDON_MS)) {
			this.#fail(new RequestError({
				kind: 'deadline', detail: 'The deadline passed.', remedy: 'Allow more time.', outcome: 'unknown',
			}));
		}
	}

	#refuse(status: number, headers: ResponseHeaders): RequestError | undefined {
		const refusal = ENGINE_REFUSALS.get(status);
		if (refusal) {
			return new RequestError({kind: refusal, detail: `The engine rejected the request with status ${status}.`, remedy: 'Send the request again.'});
		}

		if (status >= 500) {
			return upstreamFailed(`The engine failed with status ${status}.`);
		}

		if (status >= 300) {
			return undefined;
		}

		const {serving, head} = this.#options;
		const version = single(headers[MODEL_VERSION]);
		if (serving().some(({name, manifest}) => manifest === version && name === head.model)) {
			return undefined;
		}

		return new RequestError({
			kind: 'unverified', detail: 'The engine answered with a version that was not verified.', remedy: 'Send the request again.', outcome: 'unknown',
		});
	}

	#capture(chunk: Uint8Array): void {
		if (!this.#captured) {
			return;
		}

		this.#capturedBytes += chunk.byteLength;
		if (this.#capturedBytes > MAX_ANSWER_BYTES) {
			this.#captured = undefined;
			return;
		}

		this.#captured.push(chunk);
	}

	#keepAnswer(): void {
		const {record, records} = this.#options;
		if (this.#captured) {
			records.keep(record, {status: this.#status, headers: this.#headers, body: Buffer.concat(this.#captured).toString('base64')});
		}
	}

	#onEntryGone(): void {
		if (this.#isFinished) {
			return;
		}

		this.#entryIsGone = true;
		if (this.#options.head.repeatable) {
			this.#options.record.finish('failed');
			this.#finish({kind: 'cancelled'});
			this.#exchange.abort(new Error('The entry closed its connection.'));
			return;
		}

		// A response that was paused for a slow entry must continue, so that its end is recorded.
		this.#exchange.resume();
	}

	#fail(error: RequestError): void {
		if (this.#isFinished) {
			return;
		}

		this.#options.record.finish(error.outcome === 'not-run' ? 'not-run' : 'failed');
		this.#finish({kind: 'failed', error, wasSent: this.#exchange.sent});
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

const upstreamFailed = (detail: string): RequestError => new RequestError({
	kind: 'upstream-failed', detail, remedy: 'Check whether the request took effect before sending it again.', outcome: 'unknown',
});
