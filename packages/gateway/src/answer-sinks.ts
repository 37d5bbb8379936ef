/** Sink for answers of upstreams that are no streams. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AcceptedRequest} from './accepted-request.js';
import {MAX_BUFFERED_ANSWER_BYTES} from './constants.js';
import type {StopLimit} from './stop-limit.js';

export type AnswerParts = {
	readonly status: number;
	readonly rawHeaders: readonly string[];
	readonly parts: Uint8Array[];
};

/** Hop-by-hop headers, which are not forwarded. */
const HOP_HEADERS: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade']);

/** Raw headers to send to the caller: pairs of name and value in one list. */
export const forwardedAnswerHeaders = (rawHeaders: readonly string[], {withLength, mustClose}: {readonly withLength: boolean; readonly mustClose: boolean}): string[] => {
	const passed: string[] = [];
	for (let i = 0; i < rawHeaders.length; i += 2) {
		const name = rawHeaders[i].toLowerCase();
		if (!HOP_HEADERS.has(name) && (withLength || name !== 'content-length')) {
			passed.push(rawHeaders[i], rawHeaders[i + 1]);
		}
	}

	if (mustClose) {
		passed.push('connection', 'close');
	}

	return passed;
};

/** Buffers an answer until it is complete. Once it exceeds {@link MAX_BUFFERED_ANSWER_BYTES}, forwards it as it arrives. */
export class BufferedAnswer {
	readonly #response: ServerResponse;
	readonly #answer: AnswerParts;
	readonly #mustClose: () => boolean;
	readonly #request: AcceptedRequest;
	readonly #stopLimit: Pick<StopLimit, 'recordPartialAnswer'>;
	#bufferedBytes = 0;
	#hasBegunForwarding = false;

	constructor({response, status, rawHeaders, mustClose, request, stopLimit}: {
		readonly response: ServerResponse;
		readonly status: number;
		readonly rawHeaders: readonly string[];
		readonly mustClose: () => boolean;
		readonly request: AcceptedRequest;
		readonly stopLimit: Pick<StopLimit, 'recordPartialAnswer'>;
	}) {
		this.#response = response;
		this.#answer = {status, rawHeaders, parts: []};
		this.#mustClose = mustClose;
		this.#request = request;
		this.#stopLimit = stopLimit;
	}

	/** Whether bytes have been sent to the caller, so that the answer can no longer be replaced by that of a retry. */
	get hasBegunForwarding(): boolean {
		return this.#hasBegunForwarding;
	}

	get status(): number {
		return this.#answer.status;
	}

	add(chunk: Uint8Array): boolean {
		if (this.#hasBegunForwarding) {
			return this.#response.write(chunk);
		}

		this.#answer.parts.push(chunk);
		this.#bufferedBytes += chunk.byteLength;
		if (this.#bufferedBytes > MAX_BUFFERED_ANSWER_BYTES) {
			this.#hasBegunForwarding = true;
			this.#stopLimit.recordPartialAnswer(this.#request);
			this.#response.writeHead(this.#answer.status, forwardedAnswerHeaders(this.#answer.rawHeaders, {withLength: true, mustClose: this.#mustClose()}));
			return this.#response.write(Buffer.concat(this.#answer.parts));
		}

		return true;
	}

	/** Sends what is buffered, and ends the answer. */
	deliver(): void {
		if (!this.#hasBegunForwarding) {
			const body = Buffer.concat(this.#answer.parts);
			this.#response.writeHead(this.#answer.status, forwardedAnswerHeaders(this.#answer.rawHeaders, {withLength: true, mustClose: this.#mustClose()}));
			this.#response.end(body);
			return;
		}

		this.#response.end();
	}
}
