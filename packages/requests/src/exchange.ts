/** One HTTP request over a pooled connection, with the response passed on as it arrives. */
import {isStatus} from '@yuccawood/common';
import type {Dispatcher} from 'undici';
import type {ResponseHeaders} from './headers.js';

/** Receives one response. The last call is exactly one of `onEnd` and `onFailure`. */
export interface ResponseSink {
	readonly onHead: (status: number, headers: ResponseHeaders, exchange: Exchange) => void;

	/** @returns false to pause the response until `Exchange.resume`. */
	readonly onData: (chunk: Uint8Array) => boolean;
	readonly onEnd: () => void;
	readonly onFailure: (error: Error, exchange: Exchange) => void;
}

export type ExchangeRequest = {
	readonly method: string;
	readonly path: string;

	/** Names and values alternate. */
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
};

export type ExchangeOptions = {
	readonly request: ExchangeRequest;
	readonly dispatcher: Dispatcher;
	readonly sink: ResponseSink;

	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

/** Handler of undici for one request, which tracks how far the request and its response got. */
export class Exchange {
	/** Whether the request was handed to a connection. If not, it cannot have been run. */
	wasSent = false;

	/** Bytes of the response body received. */
	bytesReceived = 0;
	headReceived = false;

	/** Monotonic time in milliseconds at which the exchange started, last received data or was resumed. */
	progressAt: number;
	#controller: Dispatcher.DispatchController | undefined;
	#abortReason: Error | undefined;
	#isFinished = false;
	readonly #options: ExchangeOptions;

	constructor(options: ExchangeOptions) {
		this.#options = options;
		this.progressAt = options.now();
	}

	/** Sends the request. The sink may be called before this returns. */
	start(): void {
		const {dispatcher, request: {method, path, headers, body}} = this.#options;
		dispatcher.dispatch({
			method, path, headers, body: body ?? null,
		}, this);
	}

	/** Ends the exchange and closes its connection. The sink's `onFailure` gets the reason. Does nothing after the end. */
	abort(reason: Error): void {
		if (this.#isFinished) {
			return;
		}

		this.#abortReason = reason;
		if (this.#controller) {
			this.#controller.abort(reason);
		}

		this.#fail(reason);
	}

	/** Continues a paused response. */
	resume(): void {
		this.progressAt = this.#options.now();
		this.#controller?.resume();
	}

	/** Called by undici when the request is about to be written to a connection. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#abortReason) {
			controller.abort(this.#abortReason);
			return;
		}

		this.wasSent = true;
		this.#controller = controller;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: ResponseHeaders): void {
		// Informational responses (1xx) are not passed on. The connection is closed after a status that is none.
		if (this.#isFinished || status < 200 || !isStatus(status)) {
			return;
		}

		this.headReceived = true;
		this.progressAt = this.#options.now();
		this.#options.sink.onHead(status, headers, this);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		this.bytesReceived += chunk.byteLength;
		this.progressAt = this.#options.now();
		if (!this.#options.sink.onData(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#options.sink.onEnd();
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#fail(error);
	}

	#fail(error: Error): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#options.sink.onFailure(error, this);
	}
}
