/** Writes the response to a caller as it arrives from an agent. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {RequestError} from './errors.js';
import {appendResponseHeaders, singleValue, type ResponseHeaders} from './headers.js';
import {errorEvent} from './problem.js';
import type {KeptAnswer} from './types.js';

export class CallerResponse {
	/** Request id of the current attempt, sent as `x-request-id`. */
	requestId: string;

	/** Bytes of the body written to the caller. */
	bytesWritten = 0;

	/** Called when more data can be written after `write` returned false. */
	onWritable: (() => void) | undefined;

	readonly #response: ServerResponse;
	readonly #departure = new AbortController();
	#onDisconnected: (() => void) | undefined;
	#isEventStream = false;

	constructor({response, requestId}: {readonly response: ServerResponse; readonly requestId: string}) {
		this.#response = response;
		this.requestId = requestId;
		response.on('drain', () => {
			this.onWritable?.();
		});
		response.on('close', () => {
			if (!response.writableFinished) {
				this.#departure.abort();
				this.#onDisconnected?.();
			}
		});
	}

	/** Called when the caller closes the connection before its answer is complete, at once if it already has. */
	get onDisconnected(): (() => void) | undefined {
		return this.#onDisconnected;
	}

	set onDisconnected(listener: (() => void) | undefined) {
		this.#onDisconnected = listener;
		if (this.isDisconnected) {
			listener?.();
		}
	}

	/** Whether the headers have been sent. */
	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Aborts when the connection has closed before the answer is complete. */
	get departure(): AbortSignal {
		return this.#departure.signal;
	}

	/** Whether the caller closed the connection before its answer was complete. The close follows some turns of the event loop after the end of what it sends. */
	get isDisconnected(): boolean {
		const {destroyed, writableFinished, req: {socket}} = this.#response;
		return (destroyed || socket.readableEnded) && !writableFinished;
	}

	start(status: number, headers: ResponseHeaders): void {
		const list = ['x-request-id', this.requestId];
		appendResponseHeaders(list, headers);
		this.#isEventStream = singleValue(headers['content-type'])?.startsWith('text/event-stream') ?? false;
		this.#response.writeHead(status, list);
		if (this.#isEventStream) {
			this.#response.flushHeaders();
		}
	}

	/** @returns false when the caller reads more slowly than the answer arrives; `onWritable` follows. */
	write(chunk: Uint8Array): boolean {
		this.bytesWritten += chunk.byteLength;
		return this.#response.write(chunk);
	}

	end(): void {
		this.#response.end();
	}

	/** Writes the part of a kept answer that has not been written yet, and ends the response. */
	endWithKeptAnswer({status, headers, body}: KeptAnswer): void {
		if (!this.hasStarted) {
			this.#response.writeHead(status, ['x-request-id', this.requestId, ...headers]);
		}

		this.#response.end(Buffer.from(body, 'base64').subarray(this.bytesWritten));
	}

	/** Ends an interrupted answer: a stream with an error event, any other by closing the connection. */
	fail(error: RequestError): void {
		if (!this.#isEventStream || this.isDisconnected) {
			this.#response.destroy();
			return;
		}

		this.#response.end(errorEvent(error, this.requestId));
	}
}
