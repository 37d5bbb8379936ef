/** Sends a request to one upstream once, and forwards the answer to the caller. */
import {isMalformed, MalformedAnswerError} from '@yuccawood/common';
import {BufferedAnswer} from './answer-sinks.js';
import {MAX_UNSIZED_ANSWER_BYTES} from './constants.js';
import {recordAnnouncement} from './record-announcement.js';
import {recordMalformedRefusal} from './record-outcome.js';
import type {EventRun} from './event-relay.js';
import {reportExpiredAnswer} from './expired-answer.js';
import type {UnansweredSend} from './expiry-watch.js';
import {
	brokenRun, resultOfError, SilenceError, STREAM_FAULT_MESSAGES, type SendResult,
} from './send-result.js';
import {RefusalBody} from './refusal-body.js';
import {RunEvidence} from './run-evidence.js';
import {SilenceWatch} from './silence-watch.js';
import type {TransmitOptions} from './transmit-options.js';
import type {AnswerHeaders} from './types.js';
import type {AnswerHead, Send} from './upstream-link.js';
import {watchedSend} from './watched-send.js';
import {WrittenSend} from './written-send.js';

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

	/** Undefined unless the answer is a stream. */
	#run: EventRun | undefined;
	#isForOtherRequest = false;
	#hasReceivedData = false;
	#receivedBytes = 0;
	#hasContentLength = false;
	#isFinished = false;
	readonly #evidence: RunEvidence;
	readonly #silence: SilenceWatch;
	readonly #unanswered: UnansweredSend;

	/** Undefined until the request is written. */
	#written: WrittenSend | undefined;

	/** Time in milliseconds that was left at the send; undefined if no expiry was known then. */
	#msUntilCancelAtSend: number | undefined;

	#refusalBody: RefusalBody | undefined;

	constructor(options: TransmitOptions, resolve: (result: SendResult) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#sentAt = options.context.clock.monotonic();
		this.#pendingSendKey = options.state.addPendingSend(this.#sentAt, options.request.promptTokens);
		this.#unanswered = watchedSend(options, {
			written: () => this.#written,
			abort: reason => {
				this.#send?.abort(reason);
			},
		});
		this.#evidence = new RunEvidence(options);
		this.#silence = new SilenceWatch({
			clock: options.context.clock, limitMs: options.noDataTimeoutMs,
			// An answer that is being forwarded can no longer be replaced. While the caller reads nothing, nothing is read from the upstream.
			canGiveUp: () => !this.#bufferedAnswer?.hasBegunForwarding && !options.response.writableNeedDrain && options.hasTimeElsewhere() && options.canRetryElsewhere(),
			onSilence: silentMs => {
				this.#handleSilence(silentMs);
			},
		});
	}

	start(): void {
		const {
			context, endSignal, endedBy, control, response, state, upstreamRequest,
		} = this.#options;
		if (endSignal.aborted) {
			this.#finish({
				kind: 'ended', by: endedBy()!, mayHaveRun: false, isSilence: false,
			});
			return;
		}

		endSignal.addEventListener('abort', this.#onEnded, {once: true});
		control.withdrawal.addEventListener('abort', this.#onWithdrawn, {once: true});
		response.on('drain', this.#onDrain);
		this.#silence.recordProgress();
		this.#send = state.link.send({...upstreamRequest, onSent: this.#onSent}, {
			head: head => {
				this.#handleHead(head);
			},
			data: chunk => this.#handleData(chunk),
			end: () => {
				if (this.#isFinished) {
					this.#refusalBody?.end();
				} else {
					this.#finish(this.#resultOfEnd());
				}
			},
			error: (error, wasSent) => {
				if (this.#isFinished) {
					this.#refusalBody?.end();
					recordMalformedRefusal(this.#options, error);
				} else {
					this.#finish(this.#resultOfError(error, wasSent));
				}
			},
		});
		this.#msUntilCancelAtSend = this.#unanswered.msUntilCancel();
		if (!this.#isFinished) {
			context.expiryWatch.add(this.#unanswered);
		}
	}

	readonly #onSent = (): void => {
		const {upstreamRequest} = this.#options;
		this.#written = new WrittenSend(this.#options, upstreamRequest);
		upstreamRequest.onSent?.();
	};

	readonly #onEnded = (): void => {
		this.#send?.abort(new Error('the request ended early'));
	};

	readonly #onWithdrawn = (): void => {
		this.#send?.abort(this.#options.control.withdrawal.reason as Error);
	};

	readonly #onDrain = (): void => {
		this.#send?.resume();
	};

	#finish(result: SendResult): void {
		this.#isFinished = true;
		const {context, state, endSignal, control, response} = this.#options;
		this.#silence.stop();
		this.#run?.close();
		this.#evidence.close();
		context.expiryWatch.remove(this.#unanswered);
		state.removePendingSend(this.#pendingSendKey);
		this.#written?.end();
		endSignal.removeEventListener('abort', this.#onEnded);
		control.withdrawal.removeEventListener('abort', this.#onWithdrawn);
		response.off('drain', this.#onDrain);
		this.#resolve(result.kind === 'failed' && this.#evidence.isSuspect ? {...result, isSuspect: true} : result);
	}

	/** The caller can't get another answer once it has a part of one, so this one goes on until another upstream continues it. */
	#handleSilence(silentMs: number): void {
		if (this.#options.relay?.hasStarted) {
			this.#silence.recordProgress();
			this.#options.control.onStall(silentMs);
		} else {
			this.#send?.abort(new SilenceError(`no data for ${Math.round(silentMs)} ms`));
		}
	}

	#handleHead({status, headers, rawHeaders, isConnectionReused}: AnswerHead): void {
		const {context, request, response, relay, state} = this.#options;
		const head = context.codec.readAnswerHeaders(headers, status);
		this.#head = head;
		this.#evidence.recordHead(headers);
		this.#written?.confirm();
		context.expiryWatch.remove(this.#unanswered);
		if (head.load) {
			state.updateLoad(head.load, context.clock.monotonic());
		}

		if (head.version !== undefined) {
			state.updateVersion(head.version);
		}

		recordAnnouncement(head, this.#options);

		// An upstream may refuse a request before it reads the id. On a connection that is used again, such a refusal may be a
		// late copy of an earlier one.
		if (head.requestId === undefined ? !head.isNotRun || isConnectionReused : head.requestId !== request.requestId) {
			this.#isForOtherRequest = true;
			this.#send?.abort(new Error(`the answer belongs to request ${head.requestId ?? 'unknown'}`));
			return;
		}

		if (head.isNotRun) {
			this.#finish(this.#resultOfRefusal(`status ${status}`));
			this.#refusalBody = new RefusalBody(reason => {
				this.#send?.abort(reason);
			});
			return;
		}

		reportExpiredAnswer(this.#options, {version: head.version, sentAt: this.#sentAt, msUntilCancelAtSend: this.#msUntilCancelAtSend});
		if (relay?.hasStarted && status !== 200) {
			// The caller has the head of a stream and a part of it, which no other answer may follow.
			this.#finish(brokenRun(`status ${status} after the stream had begun`, 'answered-error'));
			this.#send?.abort(new Error('the answer does not continue the stream'));
			return;
		}

		this.#hasContentLength = headers['content-length'] !== undefined;
		if (relay !== undefined && status === 200) {
			this.#run = relay.beginRun(rawHeaders);
		} else {
			this.#bufferedAnswer = new BufferedAnswer({
				response, status, rawHeaders, mustClose: context.isDraining, request, stopLimit: context.stopLimit,
			});
		}
	}

	/** @returns whether to continue reading; false while the caller's connection applies backpressure */
	#handleData(chunk: Uint8Array): boolean {
		if (this.#refusalBody) {
			this.#refusalBody.add(chunk);
			return true;
		}

		this.#receivedBytes += chunk.byteLength;
		if (!this.#hasContentLength && this.#receivedBytes > MAX_UNSIZED_ANSWER_BYTES) {
			this.#send?.abort(new MalformedAnswerError(`the answer has no content-length and exceeds ${MAX_UNSIZED_ANSWER_BYTES} bytes`));
			return true;
		}

		const {context, request, control, state, timing} = this.#options;
		const now = context.clock.monotonic();
		timing.recordData(now);
		this.#evidence.recordData();
		if (!this.#hasReceivedData) {
			this.#hasReceivedData = true;
			state.removePendingSend(this.#pendingSendKey);
			state.recordTimeToFirstData(now - this.#sentAt, now);
			context.placer.recordTimeToFirstData(request.service, now - this.#sentAt);
		}

		if (!this.#run) {
			return this.#bufferedAnswer?.add(chunk) ?? true;
		}

		const {hasAdvanced, wantsMore, fault} = this.#run.add(chunk);
		this.#silence.recordData(chunk.byteLength, {isEventComplete: hasAdvanced});
		if (hasAdvanced) {
			control.onAdvance();
		}

		if (fault) {
			this.#send?.abort(new MalformedAnswerError(STREAM_FAULT_MESSAGES[fault]));
			return true;
		}

		return wantsMore;
	}

	get #isSilent(): boolean {
		const {noDataTimeoutMs, context: {clock}} = this.#options;
		return !this.#hasReceivedData && clock.monotonic() - this.#sentAt >= (noDataTimeoutMs() ?? Number.POSITIVE_INFINITY);
	}

	#resultOfRefusal(detail: string): SendResult {
		return {
			kind: 'failed', failure: 'not-run', detail, mayHaveRun: false, isMisdirected: this.#head?.isMisdirected,
		};
	}

	#resultOfEnd(): SendResult {
		const bufferedAnswer = this.#bufferedAnswer;
		if (this.#run) {
			const fault = this.#run.faultOfEnd(this.#evidence);
			if (fault !== undefined) {
				this.#evidence.recordBreak();
				return brokenRun(fault);
			}

			this.#evidence.recordEnd();
			this.#options.relay!.end();
			return {kind: 'delivered', mayHaveRun: true};
		}

		this.#evidence.recordEnd();
		if (bufferedAnswer && bufferedAnswer.status >= 500 && !bufferedAnswer.hasBegunForwarding) {
			return {...brokenRun(`status ${bufferedAnswer.status}`, 'answered-error'), bufferedAnswer};
		}

		bufferedAnswer?.deliver();
		return {kind: 'delivered', mayHaveRun: true};
	}

	#resultOfError(error: Error, wasSent: boolean): SendResult {
		const result = resultOfError(error, {
			wasSent, by: this.#options.endedBy(), isSilent: this.#isSilent, bufferedAnswer: this.#bufferedAnswer,
		});
		const isBreak = result.kind === 'failed' && wasSent && !result.isSilence && !result.isCancelled;
		if (isBreak && !this.#isForOtherRequest && !isMalformed(error)) {
			this.#evidence.recordBreak();
		}

		return result;
	}
}
