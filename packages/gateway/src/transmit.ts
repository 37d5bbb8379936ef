/** Sends a request to one upstream once, and forwards the answer to the caller. */
import type {ServerResponse} from 'node:http';
import type {SendFailure} from '@yuccawood/dispatch';
import {BufferedAnswer, type EventRelay} from './answer-sinks.js';
import {isMalformed, MalformedAnswerError} from './connection-watch.js';
import {
	MAX_BYTES_WITHOUT_EVENT, MAX_CANCEL_CHECK_MS, MAX_REFUSAL_BYTES, MAX_REFUSAL_MS, MAX_UNSIZED_ANSWER_BYTES, MIN_PROGRESS_BYTES,
} from './constants.js';
import type {StreamFault} from './event-stream.js';
import type {AcceptedRequest, GatewayContext} from './gateway-context.js';
import type {AnswerHeaders} from './types.js';
import type {Send, SendRequest} from './upstream-link.js';
import type {ConnectedUpstream} from './upstream-states.js';

/** Why a request ended before its answer was complete: the caller disconnected, or the deadline passed. */
export type EarlyEnd = 'caller' | 'deadline';

/** Result of one attempt. `mayHaveRun` is false only if the upstream certainly did not run the request. */
export type SendResult = {readonly mayHaveRun: boolean} & (
	{readonly kind: 'delivered'}
	| {readonly kind: 'failed'; readonly failure: SendFailure; readonly detail: string; readonly bufferedAnswer?: BufferedAnswer; readonly isMisdirected?: boolean; readonly isCancelled?: boolean; readonly isSilence?: boolean}
	| {
		readonly kind: 'ended'; readonly by: EarlyEnd;

		/** Whether the upstream had sent no data for longer than its load explains. */
		readonly isSilence: boolean;
	}
);

/** Times at which data of one answer arrived, over all attempts that contribute to it. Monotonic milliseconds. */
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

	/** Forwards the events of a stream to the caller; undefined for requests without a stream. */
	readonly relay: EventRelay | undefined;
	readonly timing: AnswerTiming;
	readonly state: ConnectedUpstream;
	readonly upstreamRequest: SendRequest;
	readonly fingerprint: string;

	/** Aborts when the caller disconnects or the deadline passes. */
	readonly endSignal: AbortSignal;
	readonly endedBy: () => EarlyEnd | undefined;

	/**
	Time without data, in milliseconds, after which the request may be retried at another upstream; undefined if the route
	forbids it. It depends on the load of the upstream at the moment.
	*/
	readonly noDataTimeoutMs: () => number | undefined;
	readonly canRetryElsewhere: () => boolean;

	/** Time in milliseconds until a request without an answer has to be cancelled because the upstream's version expires; undefined if it does not expire. */
	readonly msUntilCancel: () => number | undefined;
};

class SilenceError extends Error {}

class RecallError extends Error {}

const STREAM_FAULT_MESSAGES: Readonly<Record<StreamFault, string>> = {
	gap: 'event numbers are missing in the stream',
	'no-event': `no new event in ${MAX_BYTES_WITHOUT_EVENT} bytes`,
};

/** Resolves when the attempt succeeded, failed or was ended early. */
export const transmit = async (options: TransmitOptions): Promise<SendResult> => new Promise(resolve => {
	new Transmission(options, resolve).start();
});

class Transmission {
	readonly #options: TransmitOptions;
	readonly #resolve: (result: SendResult) => void;
	readonly #sentAt: number;
	readonly #pendingSendKey: symbol;
	#send: Send | undefined;
	#bufferedAnswer: BufferedAnswer | undefined;
	#head: AnswerHeaders | undefined;
	#isStream = false;
	#isForOtherRequest = false;
	#hasReceivedData = false;
	#receivedBytes = 0;
	#bytesSinceProgress = 0;
	#hasContentLength = false;
	#isFinished = false;
	#noDataTimer: NodeJS.Timeout | undefined;

	/** Monotonic time of the latest data, or of the send, in milliseconds. */
	#silentSince = 0;
	#cancelTimer: NodeJS.Timeout | undefined;

	/** Limits the time for reading the body of a refusal. */
	#refusalTimer: NodeJS.Timeout | undefined;

	constructor(options: TransmitOptions, resolve: (result: SendResult) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#sentAt = options.context.clock.monotonic();
		this.#pendingSendKey = options.state.addPendingSend(this.#sentAt, options.request.promptTokens);
	}

	start(): void {
		const {endSignal, endedBy, response, state, upstreamRequest} = this.#options;
		if (endSignal.aborted) {
			this.#finish({
				kind: 'ended', by: endedBy()!, mayHaveRun: false, isSilence: false,
			});
			return;
		}

		endSignal.addEventListener('abort', this.#onEnded, {once: true});
		response.on('drain', this.#onDrain);
		this.#restartNoDataTimer();
		this.#send = state.link.send(upstreamRequest, {
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
		this.#send?.abort(new Error('the request ended early'));
	};

	readonly #onDrain = (): void => {
		this.#send?.resume();
	};

	#finish(result: SendResult): void {
		this.#isFinished = true;
		const {state, endSignal, response} = this.#options;
		clearTimeout(this.#noDataTimer);
		clearTimeout(this.#cancelTimer);
		state.removePendingSend(this.#pendingSendKey);
		endSignal.removeEventListener('abort', this.#onEnded);
		response.off('drain', this.#onDrain);
		this.#resolve(result);
	}

	/**
	Aborts the attempt if no data arrives for too long and another upstream has a free slot. Does nothing once a
	buffered answer is being forwarded, because it can no longer be replaced.
	*/
	#restartNoDataTimer(): void {
		this.#silentSince = this.#options.context.clock.monotonic();
		this.#scheduleSilenceCheck();
	}

	#scheduleSilenceCheck(): void {
		const {noDataTimeoutMs, canRetryElsewhere, context: {clock}} = this.#options;
		clearTimeout(this.#noDataTimer);
		const limitMs = noDataTimeoutMs();
		if (limitMs === undefined) {
			return;
		}

		const silentMs = clock.monotonic() - this.#silentSince;
		this.#noDataTimer = setTimeout(() => {
			if (clock.monotonic() - this.#silentSince < (noDataTimeoutMs() ?? 0)) {
				this.#scheduleSilenceCheck();
			} else if (!this.#bufferedAnswer?.hasBegunForwarding && canRetryElsewhere()) {
				this.#send?.abort(new SilenceError(`no data for ${Math.round(clock.monotonic() - this.#silentSince)} ms`));
			} else {
				this.#restartNoDataTimer();
			}
		}, Math.max(1, Math.ceil(limitMs - silentMs)));
	}

	/**
	Cancels the request shortly before the version of the upstream expires, unless its answer has begun. Upstreams drop
	a queued request when its connection closes.
	*/
	#scheduleCancel(): void {
		const inMs = this.#options.msUntilCancel();
		if (inMs === undefined || this.#isFinished) {
			return;
		}

		if (inMs === 0) {
			this.#options.context.metrics.count('gateway.recalled', {service: this.#options.request.service});
			this.#send?.abort(new RecallError('the version that the upstream holds is about to expire'));
			return;
		}

		// The upstream may load the newer version in the meantime, or the staleness bound may turn out to be earlier.
		this.#cancelTimer = setTimeout(() => {
			this.#scheduleCancel();
		}, Math.min(inMs, MAX_CANCEL_CHECK_MS));
	}

	#handleHead(status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>, rawHeaders: readonly string[]): void {
		const {context, request, response, relay, state} = this.#options;
		const head = context.codec.readAnswerHeaders(headers, status);
		this.#head = head;
		clearTimeout(this.#cancelTimer);
		if (head.load) {
			state.updateLoad(head.load.running + head.load.waiting, context.clock.monotonic());
		}

		if (head.version !== undefined) {
			state.updateVersion(head.version);
		}

		// A refusal may have no request id, because the upstream may have refused before reading it.
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
			this.#bufferedAnswer = new BufferedAnswer({
				response, status, rawHeaders, mustClose: context.isDraining,
			});
		}
	}

	/** @returns whether to continue reading; false while the caller's connection applies backpressure */
	#handleData(chunk: Uint8Array): boolean {
		this.#receivedBytes += chunk.byteLength;
		if (this.#head?.isNotRun) {
			if (this.#receivedBytes > MAX_REFUSAL_BYTES) {
				this.#send?.abort(new MalformedAnswerError(`the body of the refusal exceeds ${MAX_REFUSAL_BYTES} bytes`));
			}

			return true;
		}

		if (!this.#hasContentLength && this.#receivedBytes > MAX_UNSIZED_ANSWER_BYTES) {
			this.#send?.abort(new MalformedAnswerError(`the answer has no content-length and exceeds ${MAX_UNSIZED_ANSWER_BYTES} bytes`));
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
			return this.#bufferedAnswer?.add(chunk) ?? true;
		}

		const eventsBefore = relay!.eventCount;
		const wantsMore = relay!.add(chunk);
		this.#bytesSinceProgress += chunk.byteLength;
		// An upstream that sends a byte now and then, but no event, has stalled.
		if (relay!.eventCount > eventsBefore || this.#bytesSinceProgress >= MIN_PROGRESS_BYTES) {
			this.#bytesSinceProgress = 0;
			this.#restartNoDataTimer();
		}

		if (typeof wantsMore === 'string') {
			this.#send?.abort(new MalformedAnswerError(STREAM_FAULT_MESSAGES[wantsMore]));
			return true;
		}

		return wantsMore;
	}

	get #isSilent(): boolean {
		const {noDataTimeoutMs, context: {clock}} = this.#options;
		return !this.#hasReceivedData && clock.monotonic() - this.#sentAt >= (noDataTimeoutMs() ?? Number.POSITIVE_INFINITY);
	}

	/** The head of a refusal is enough to decide. Its body is read for a limited time only to keep the connection reusable. */
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
		const bufferedAnswer = this.#bufferedAnswer;
		if (this.#isStream) {
			const {relay} = this.#options;
			if (relay!.hasPartialEvent) {
				return {
					kind: 'failed', failure: 'unknown', detail: 'the stream ended in the middle of an event', mayHaveRun: true,
				};
			}

			relay!.end();
			return {kind: 'delivered', mayHaveRun: true};
		}

		if (bufferedAnswer && bufferedAnswer.status >= 500 && !bufferedAnswer.hasBegunForwarding) {
			return {
				kind: 'failed', failure: 'answered-error', detail: `status ${bufferedAnswer.status}`, bufferedAnswer, mayHaveRun: true,
			};
		}

		bufferedAnswer?.deliver();
		return {kind: 'delivered', mayHaveRun: true};
	}

	#resultOfError(error: Error, wasSent: boolean): SendResult {
		const {endedBy, context, state, fingerprint} = this.#options;
		const by = endedBy();
		if (by) {
			return {
				kind: 'ended', by, mayHaveRun: wasSent, isSilence: this.#isSilent,
			};
		}

		if (!wasSent) {
			return {
				kind: 'failed', failure: 'not-sent', detail: error.message, mayHaveRun: false, isSilence: error instanceof SilenceError,
			};
		}

		if (!this.#isForOtherRequest && !(error instanceof SilenceError) && !(error instanceof RecallError) && !isMalformed(error)) {
			context.crashWatch.recordBrokenConnection(state.upstream.key, fingerprint, state.ownRequests - 1);
		}

		return {
			kind: 'failed', failure: 'unknown', detail: error.message, bufferedAnswer: this.#bufferedAnswer, mayHaveRun: true, isCancelled: error instanceof RecallError, isSilence: error instanceof SilenceError,
		};
	}
}
