/** An exchange whose request can also be sent over a second connection. The first response is used, and the other exchange is aborted. */
import type {Dispatcher} from 'undici';
import {Exchange, type ExchangeOptions, type ResponseSink} from './exchange.js';
import type {ResponseHeaders} from './headers.js';

export class HedgedExchange implements ResponseSink {
	/** Whether a response began or a failed exchange had sent the request. When all have failed and this is false, the request cannot have been run. */
	wasSent = false;

	readonly #options: ExchangeOptions;
	readonly #exchanges = new Set<Exchange>();
	/** The exchange whose response is used. */
	#winner: Exchange | undefined;
	#isHedged = false;

	constructor(options: ExchangeOptions) {
		this.#options = options;
	}

	/** Whether the request has been sent a second time. */
	get isHedged(): boolean {
		return this.#isHedged;
	}

	/** Whether the response headers have arrived. */
	get headReceived(): boolean {
		return this.#winner !== undefined;
	}

	/** Latest `progressAt` of the exchanges: monotonic time in milliseconds. */
	get progressAt(): number {
		let latest = 0;
		for (const {progressAt} of this.#exchanges) {
			latest = Math.max(latest, progressAt);
		}

		return latest;
	}

	start(): void {
		this.#startExchange(this.#options.dispatcher);
	}

	/** Sends the request a second time, through this dispatcher. Does nothing when that was done or a response has begun. */
	hedge(dispatcher: Dispatcher): void {
		if (this.#isHedged || this.#winner) {
			return;
		}

		this.#isHedged = true;
		this.#startExchange(dispatcher);
	}

	/** Continues a paused response. */
	resume(): void {
		this.#winner?.resume();
	}

	/** Aborts all exchanges. The sink's `onFailure` gets the reason unless the response has ended. */
	abort(reason: Error): void {
		for (const exchange of this.#exchanges) {
			exchange.abort(reason);
		}
	}

	onHead(status: number, headers: ResponseHeaders, exchange: Exchange): void {
		this.#winner = exchange;
		this.wasSent = true;
		if (this.#isHedged) {
			this.#abortOthers(exchange);
		}

		this.#options.sink.onHead(status, headers, exchange);
	}

	onData(chunk: Uint8Array): boolean {
		return this.#options.sink.onData(chunk);
	}

	onEnd(): void {
		this.#options.sink.onEnd();
	}

	/** Passes a failure on when the exchange had the response, or when no other exchange can still get one. */
	onFailure(error: Error, exchange: Exchange): void {
		this.wasSent ||= exchange.wasSent;
		this.#exchanges.delete(exchange);
		if (this.#winner === exchange || (this.#winner === undefined && this.#exchanges.size === 0)) {
			this.#options.sink.onFailure(error, exchange);
		}
	}

	#startExchange(dispatcher: Dispatcher): void {
		const {request, now} = this.#options;
		const exchange = new Exchange({
			request, now, dispatcher, sink: this,
		});
		this.#exchanges.add(exchange);
		exchange.start();
	}

	#abortOthers(winner: Exchange): void {
		for (const other of this.#exchanges) {
			if (other !== winner) {
				other.abort(new Error('Another connection was faster.'));
			}
		}
	}
}
