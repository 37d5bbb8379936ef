/** One send of a request to an upstream, and the relay of its answer. */
import type {ServerResponse} from 'node:http';
import type {SendFailure} from '@yuccawood/dispatch';
import {BufferedAnswer, type EventRelay} from './answer-sinks.js';
import {isMalformed, MalformedAnswerError} from './connection-watch.js';
import {
	MAX_BYTES_WITHOUT_EVENT, MAX_CANCEL_CHECK_MS, MAX_REFUSAL_BYTES, MAX_REFUSAL_MS, MAX_UNSIZED_ANSWER_BYTES,
} from './constants.js';
import type {StreamFault} from './event-stream.js';
import type {AcceptedRequest, GatewayContext} from './gateway-context.js';
import type {AnswerHead} from './types.js';
import type {Send, SendRequest} from './upstream-link.js';
import type {UpstreamState} from './upstream-states.js';

/** Why an exchange is over before its answer. */
export type EarlyEnd = 'caller' | 'deadline';

/** What became of one send. `mayHaveRun` is false only on proof. */
export type SendResult = {readonly mayHaveRun: boolean} & (
	{readonly kind: 'delivered'}
	| {readonly kind: 'failed'; readonly failure: SendFailure; readonly detail: string; readonly held?: BufferedAnswer; readonly isMisdirected?: boolean; readonly isCancelled?: boolean}
	| {readonly kind: 'ended'; readonly by: EarlyEnd}
);

/** Times of the data of one answer, over all sends that contribute to it. Monotonic milliseconds. */
export class AnswerTiming {
	#firstDataAt: number | undefined;
	#lastDataAt = 0;
	#longestGapMs = 0;

	get firstDataAt(): number | undefined {
		return this.#firstDataAt;
	}

	get longestGapMs(): number {
		return this.#longestGapMs;
	}

	recordData(now: number): void {
		if (this.#firstDataAt === undefined) {
			this.#firstDataAt = now;
		} else {
			this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastDataAt);
		}

		this.#lastDataAt = now;
	}
}

export type TransmitOptions = {
	readonly context: GatewayContext;
	readonly request: AcceptedRequest;
	readonly response: ServerResponse;

	/** Passes events on; nothing for requests that are no streams. */
	readonly relay: EventRelay | undefined;
	readonly timing: AnswerTiming;
	readonly state: UpstreamState;
	readonly sent: SendRequest;
	readonly fingerprint: string;

	/** Aborts when the exchange is over. */
	readonly ended: AbortSignal;
	readonly endedBy: () => EarlyEnd | undefined;

	/** Time without data after which the request may move to another upstream; nothing where that is not allowed. */
	readonly noDataTimeoutMs: number | undefined;
	readonly canRetryElsewhere: () => boolean;

	/** Time until the request must not wait at the upstream any more, in milliseconds; nothing while it may. */
	readonly msUntilCancel: () => number | undefined;
};

class SilenceError extends Error {}

class RecallError extends Error {}

const STREAM_FAULT_MESSAGES: Readonly<Record<StreamFault, string>> = {
	gap: 'events are missing',
	'no-event': `no new event in ${MAX_BYTES_WITHOUT_EVENT} bytes`,
};

/** Resolves when the send is over. */
export const transmit = async (options: TransmitOptions): Promise<SendResult> => new Promise(resolve => {
	new Transmission(options, resolve).start();
});

class Transmission {
	readonly #options: TransmitOptions;
	readonly #resolve: (result: SendResult) => void;
	readonly #sentAt: number;
	readonly #pendingSendKey: symbol;
	#send: Send | undefined;
	#heldAnswer: BufferedAnswer | undefined;
	#head: AnswerHead | undefined;
	#isStream = false;
	#isForOtherRequest = false;
	#hasReceivedData = false;
	#receivedBytes = 0;
	#hasContentLength = false;
	#isFinished = false;
	#noDataTimer: NodeJS.Timeout | undefined;
	#cancelTimer: NodeJS.Timeout | undefined;

	/** Ends the read of a refusal. */
	#refusalTimer: NodeJS.Timeout | undefined;

	constructor(options: TransmitOptions, resolve: (result: SendResult) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#sentAt = options.context.clock.monotonic();
		this.#pendingSendKey = options.state.addPendingSend(this.#sentAt, options.request.promptTokens);
	}

	start(): void {
		const {ended, endedBy, response, state, sent} = this.#options;
		if (ended.aborted) {
			this.#finish({kind: 'ended', by: endedBy()!, mayHaveRun: false});
			return;
		}

		ended.addEventListener('abort', this.#onEnded, {once: true});
		response.on('drain', this.#onDrain);
		this.#restartNoDataTimer();
		this.#send = state.link.send(sent, {
			head: (status, headers, rawHeaders) => {
				this.#handleHead(status, headers, rawHeaders);
			},
			data: chunk => this.#handleData(chunk),
			end: () => {
				if (this.#isFinished) {
					clearTimeout(this.#refusalTimer);
				} else {
					this.#finish(this.#resultOfEnd());
				}
			},
			error: (error, wasSent) => {
				if (this.#isFinished) {
					this.#recordMalformedRefusal(error);
				} else {
					this.#finish(this.#resultOfError(error, wasSent));
				}
			},
		});
		this.#scheduleCancel();
	}

	readonly #onEnded = (): void => {
		this.#send?.abort(new Error('the exchange ended'));
	};

	readonly #onDrain = (): void => {
		this.#send?.resume();
	};

	#finish(result: SendResult): void {
		this.#isFinished = true;
		const {state, ended, response} = this.#options;
		clearTimeout(this.#noDataTimer);
		clearTimeout(this.#cancelTimer);
		state.removePendingSend(this.#pendingSendKey);
		ended.removeEventListener('abort', this.#onEnded);
		response.off('drain', this.#onDrain);
		this.#resolve(result);
	}

	/** Aborts the send when nothing arrives for too long and another upstream could take over; an answer that has begun to pass cannot be replaced. */
	#restartNoDataTimer(): void {
		const {noDataTimeoutMs: silenceMs, canRetryElsewhere: isWorthMoving} = this.#options;
		clearTimeout(this.#noDataTimer);
		if (silenceMs === undefined) {
			return;
		}

		this.#noDataTimer = setTimeout(() => {
			if (!this.#heldAnswer?.hasBegunForwarding && isWorthMoving()) {
				this.#send?.abort(new SilenceError(`no data for ${silenceMs} ms`));
			} else {
				this.#restartNoDataTimer();
			}
		}, silenceMs);
	}

	/** Aborts the send shortly before the version of the upstream expires, while its answer has not begun: an upstream drops what waits when its connection closes. */
	#scheduleCancel(): void {
		const inMs = this.#options.msUntilCancel();
		if (inMs === undefined || this.#isFinished) {
			return;
		}

		if (inMs === 0) {
			this.#options.context.metrics.count('gateway.recalled', {service: this.#options.request.service});
			this.#send?.abort(new RecallError('the version of the upstream expires'));
			return;
		}

		// The upstream may load the newer version meanwhile, or the bound turn out to be earlier.
		this.#cancelTimer = setTimeout(() => {
			this.#scheduleCancel();
		}, Math.min(inMs, MAX_CANCEL_CHECK_MS));
	}

	#handleHead(status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>, rawHeaders: readonly string[]): void {
		const {context, request, response, relay, state} = this.#options;
		const head = context.codec.readAnswer(headers, status);
		this.#head = head;
		clearTimeout(this.#cancelTimer);
		if (head.load) {
			state.updateLoad(head.load.running + head.load.waiting, context.clock.monotonic());
		}

		if (head.version !== undefined) {
			state.updateVersion(head.version);
		}

		// A refusal may lack the id, as the upstream may not have read it.
		if (head.requestId === undefined ? !head.isNotRun : head.requestId !== request.requestId) {
			this.#isForOtherRequest = true;
			this.#send?.abort(new Error(`the answer belongs to request ${head.requestId ?? 'unknown'}`));
			return;
		}

		if (head.isNotRun) {
			this.#finish(this.#resultOfRefusal(`status ${status}`));
			this.#limitRefusalTime();
			return;
		}

		this.#hasContentLength = headers['content-length'] !== undefined;
		this.#isStream = relay !== undefined && status === 200;
		if (this.#isStream) {
			relay!.start(rawHeaders);
		} else {
			this.#heldAnswer = new BufferedAnswer({
				response, status, rawHeaders, mustClose: context.isDraining,
			});
		}
	}

	/** @returns whether more is wanted now */
	#handleData(chunk: Uint8Array): boolean {
		this.#receivedBytes += chunk.byteLength;
		if (this.#head?.isNotRun) {
			if (this.#receivedBytes > MAX_REFUSAL_BYTES) {
				this.#send?.abort(new MalformedAnswerError(`the body of the refusal exceeds ${MAX_REFUSAL_BYTES} bytes`));
			}

			return true;
		}

		if (!this.#hasContentLength && this.#receivedBytes > MAX_UNSIZED_ANSWER_BYTES) {
			this.#send?.abort(new MalformedAnswerError(`the answer has no length and exceeds ${MAX_UNSIZED_ANSWER_BYTES} bytes`));
			return true;
		}

		const {context, request, relay, state, timing} = this.#options;
		const now = context.clock.monotonic();
		timing.recordData(now);
		if (!this.#hasReceivedData) {
			this.#hasReceivedData = true;
			state.removePendingSend(this.#pendingSendKey);
			state.recordTimeToFirstData(now - this.#sentAt, now);
			context.placer.recordTimeToFirstData(request.service, now - this.#sentAt);
		}

		if (!this.#isStream) {
			return this.#heldAnswer?.add(chunk) ?? true;
		}

		this.#restartNoDataTimer();
		const wantsMore = relay!.add(chunk);
		if (typeof wantsMore === 'string') {
			this.#send?.abort(new MalformedAnswerError(STREAM_FAULT_MESSAGES[wantsMore]));
			return true;
		}

		return wantsMore;
	}

	/** The head tells all; what follows is read for a moment, so that the connection can be kept. */
	#limitRefusalTime(): void {
		this.#refusalTimer = setTimeout(() => {
			this.#send?.abort(new MalformedAnswerError(`the refusal did not end within ${MAX_REFUSAL_MS} ms`));
		}, MAX_REFUSAL_MS);
	}

	#recordMalformedRefusal(error: Error): void {
		clearTimeout(this.#refusalTimer);
		if (isMalformed(error)) {
			const {context, request, state} = this.#options;
			state.recordFailure(context.clock.monotonic(), false);
			context.decisions.unusual(request.requestId, 'The body of a refusal was cut.', () => ({upstream: state.upstream.id, detail: error.message}));
		}
	}

	#resultOfRefusal(detail: string): SendResult {
		return {
			kind: 'failed', failure: 'not-run', detail, mayHaveRun: false, isMisdirected: this.#head?.isMisdirected,
		};
	}

	#resultOfEnd(): SendResult {
		const held = this.#heldAnswer;
		if (this.#isStream) {
			const {relay} = this.#options;
			if (relay!.hasPartialEvent) {
				return {
					kind: 'failed', failure: 'unknown', detail: 'the stream ended within an event', mayHaveRun: true,
				};
			}

			relay!.end();
			return {kind: 'delivered', mayHaveRun: true};
		}

		if (held && held.status >= 500 && !held.hasBegunForwarding) {
			return {
				kind: 'failed', failure: 'answered-error', detail: `status ${held.status}`, held, mayHaveRun: true,
			};
		}

		held?.deliver();
		return {kind: 'delivered', mayHaveRun: true};
	}

	#resultOfError(error: Error, wasSent: boolean): SendResult {
		const {endedBy, context, state, fingerprint} = this.#options;
		const by = endedBy();
		if (by) {
			return {kind: 'ended', by, mayHaveRun: wasSent};
		}

		if (!wasSent) {
			return {
				kind: 'failed', failure: 'not-sent', detail: error.message, mayHaveRun: false,
			};
		}

		if (!this.#isForOtherRequest && !(error instanceof SilenceError) && !(error instanceof RecallError) && !isMalformed(error)) {
			context.crashWatch.recordBrokenConnection(state.upstream.key, fingerprint, state.ownRequests - 1);
		}

		return {
			kind: 'failed', failure: 'unknown', detail: error.message, held: this.#heldAnswer, mayHaveRun: true, isCancelled: error instanceof RecallError,
		};
	}
}
