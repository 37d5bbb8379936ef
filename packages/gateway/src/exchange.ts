/** Handles one accepted request: chooses an upstream, sends the request, forwards the answer, and retries where the route allows it. */
import type {ServerResponse} from 'node:http';
import type {Suspect} from '@yuccawood/crashes';
import {AnswerTiming} from './answer-timing.js';
import {ClosedConnectionError} from './caller-connections.js';
import {suspectsOf} from './crash-watch.js';
import {EventRelay} from './event-relay.js';
import {FinalAnswers} from './final-answers.js';
import type {AcceptedRequest} from './accepted-request.js';
import type {GatewayContext} from './gateway-context.js';
import {HedgedSend, type SendControl} from './hedged-send.js';
import {recordOutcome} from './record-outcome.js';
import {RequestNeeds} from './request-needs.js';
import {RequestRetries} from './request-retries.js';
import {RequestSender} from './request-sender.js';
import {wasWritten, type EarlyEnd, type SendResult} from './send-result.js';
import {timeFields} from './time-fields.js';
import {startTimeLimits} from './time-limits.js';
import type {ConnectedUpstream} from './upstream-states.js';

export type ExchangeOptions = {
	readonly context: GatewayContext;
	readonly request: AcceptedRequest;
	readonly response: ServerResponse;

	/** Aborts when the caller leaves, with a {@link ClosedConnectionError} if this entry has closed its connection. */
	readonly departure: AbortSignal;
};

export class Exchange {
	readonly #context: GatewayContext;
	readonly #request: AcceptedRequest;
	readonly #response: ServerResponse;
	readonly #departure: AbortSignal;
	readonly #abortController = new AbortController();
	readonly #suspects: readonly Suspect[];
	readonly #relay: EventRelay | undefined;
	#endedBy: EarlyEnd | undefined;
	#isWaiting = false;

	/** Whether the request is sent although upstreams crashed under it before, to find out whether they still do. */
	#isTrial = false;

	readonly #timing = new AnswerTiming();
	readonly #needs: RequestNeeds;
	readonly #answers: FinalAnswers;
	readonly #sender: RequestSender;
	readonly #retries: RequestRetries;
	readonly #hedgedSend: HedgedSend;

	constructor({context, request, response, departure}: ExchangeOptions) {
		this.#context = context;
		this.#request = request;
		this.#response = response;
		this.#departure = departure;
		this.#suspects = suspectsOf(request);
		this.#needs = new RequestNeeds(context, request);
		this.#relay = request.route.kind === 'stream'
			? new EventRelay({
				response, eventNumber: context.codec.parseEventNumber, lastId: request.lastEventId, mustClose: context.isDraining,
			})
			: undefined;
		this.#sender = new RequestSender({
			context, request, response,
			relay: this.#relay,
			timing: this.#timing,
			needs: this.#needs,
			suspects: this.#suspects,
			endSignal: this.#abortController.signal,
			endedBy: () => this.#endedBy,
			canRetryElsewhere: state => this.#retries.canRetryElsewhere(state),
		});
		this.#retries = new RequestRetries({
			context, request, relay: this.#relay, needs: this.#needs, suspects: this.#suspects, sends: () => this.#sender.sends,
		});
		this.#hedgedSend = new HedgedSend({
			send: async (state, control) => this.#send(state, control),
			takeSlot: (silent, refusedBy, silentMs) => this.#retries.takeHedgeSlot(silent, refusedBy, silentMs),
			onLoss: loss => {
				this.#retries.recordLoss(loss);
			},
		});
		this.#answers = new FinalAnswers({
			context, request, response, progress: () => ({mayHaveRun: this.#retries.mayHaveRun, sends: this.#sender.sends, events: this.#relay?.eventCount}),
		});
	}

	/** Resolves once the caller has a final answer or has disconnected. */
	async run(): Promise<void> {
		const {clock, decisions} = this.#context;
		const {deadlineAt, endsAt, requestId} = this.#request;
		decisions.ordinary(requestId, 'Read.', () => timeFields(this.#context, this.#request));
		const stopTimeLimits = startTimeLimits({
			deadlineAt, endsAt, clock, isWaiting: () => this.#isWaiting, onEnd: () => {
				this.#end('deadline');
			},
		});
		const onDeparture = (): void => {
			this.#end(this.#departure.reason instanceof ClosedConnectionError ? 'stop' : 'caller');
		};

		if (this.#departure.aborted) {
			onDeparture();
		}

		this.#departure.addEventListener('abort', onDeparture, {once: true});
		const endListening = this.#context.crashReview.blocklist.onBlock(() => {
			// An answer that has begun shows better than any count whether the upstream survives it.
			if (!this.#response.headersSent && this.#isBlocked) {
				this.#end('block');
			}
		});
		try {
			await this.#serve();
		} finally {
			stopTimeLimits();
			endListening();
			this.#departure.removeEventListener('abort', onDeparture);
		}
	}

	/** Ends the request if it waits and can no longer be answered before this entry ends. @param isOver whether the last answers are due */
	reviewStop(isOver: boolean): void {
		if (isOver || (this.#isWaiting && !this.#context.stopLimit.canAnswer(this.#request))) {
			this.#end('stop');
		}
	}

	#end(by: EarlyEnd): void {
		this.#endedBy ??= by;
		this.#abortController.abort();
	}

	async #serve(): Promise<void> {
		const {crashReview, placer, decisions, stopLimit} = this.#context;
		const {route, service, account, priority, deadlineAt, requestId} = this.#request;
		this.#isTrial = this.#isBlocked && crashReview.takeTrials(this.#blockedSuspects);
		for (;;) {
			if (this.#isBlocked) {
				this.#answers.blocked(this.#blockedSuspects);
				return;
			}

			if (!this.#sender.hasTime) {
				this.#answerEndedEarly('deadline');
				return;
			}

			if (!stopLimit.canAnswer(this.#request)) {
				this.#answers.stopping();
				return;
			}

			this.#isWaiting = true;
			const placed = await placer.place({
				service,
				need: () => this.#retries.placementNeed,
				account: account ?? '',
				priority,
				isConfined: this.#request.allowedDomains !== undefined,
				goalAt: this.#needs.firstDataGoalAt(this.#retries.mayHaveRun),
				deadlineAt,
				returnRecognizedAt: this.#request.returnRecognizedAt,
				signal: this.#abortController.signal,
			});
			this.#isWaiting = false;
			if (placed.kind !== 'placed') {
				if (placed.kind === 'cancelled') {
					this.#answerEndedEarly(this.#endedBy ?? 'caller');
				} else {
					this.#answers.notPlaced(placed);
				}

				return;
			}

			decisions.ordinary(requestId, 'Placed.', () => ({
				route: route.name, upstream: placed.state.upstream.id, load: placed.load, waitedMs: Math.round(placed.waitedMs),
				sends: this.#sender.sends + 1, ...timeFields(this.#context, this.#request),
			}));
			const {state, result} = await this.#hedgedSend.run(placed.state);
			if (result.kind === 'delivered') {
				this.#recordDelivery(state, placed.load, placed.waitedMs);
				stopLimit.recordAnswer(this.#request);
				return;
			}

			if (result.kind === 'ended') {
				// The answer would have taken longer still.
				stopLimit.recordAnswer(this.#request);
				this.#answerEndedEarly(result.by, state);
				return;
			}

			if (!this.#retries.mayRetry(result, state)) {
				this.#answers.failed(result, state);
				return;
			}
		}
	}

	get #blockedSuspects(): readonly string[] {
		return this.#context.crashReview.blockedAmong(this.#suspects);
	}

	/** Whether upstreams crash under the request. That may become known while it waits. */
	get #isBlocked(): boolean {
		return !this.#isTrial && this.#blockedSuspects.length > 0;
	}

	async #send(state: ConnectedUpstream, control: SendControl): Promise<SendResult> {
		const {placer, states} = this.#context;
		const {service, requestId} = this.#request;
		const {oldestVersion} = this.#retries.placementNeed;
		const result = await this.#sender.send(state, control);
		this.#retries.recordResult(result);
		state.endRequest({wasWritten: wasWritten(result)});
		recordOutcome(this.#context, {
			requestId, state, result, hasExpectedVersion: oldestVersion !== undefined,
		});
		placer.freeSlot(service, {isUsable: states.has(state.upstream.key)});

		return result;
	}

	#recordDelivery(state: ConnectedUpstream, load: number, waitedMs: number): void {
		this.#watchWriting();
		const {metrics, decisions, clock} = this.#context;
		const {service, arrivedAt, goalAt, route, requestId, promptTokens} = this.#request;
		const firstMs = (this.#timing.firstDataAt ?? clock.monotonic()) - arrivedAt;
		const isLate = arrivedAt + firstMs > goalAt || this.#timing.longestGapMs > (route.gapGoalMs ?? Number.POSITIVE_INFINITY);
		metrics.timing('gateway.first_data_ms', firstMs, {service});
		metrics.count('gateway.delivered', {service, late: String(isLate)});
		decisions.ordinary(requestId, 'Delivered.', () => ({
			route: route.name, upstream: state.upstream.id, load, waitedMs: Math.round(waitedMs), firstMs: Math.round(firstMs), longestGapMs: Math.round(this.#timing.longestGapMs),
			sends: this.#sender.sends, events: this.#relay?.eventCount, late: isLate, promptTokens,
		}));
	}

	/** Reports if this entry closes the connection while bytes of the whole answer still wait for the caller to read them. */
	#watchWriting(): void {
		this.#departure.addEventListener('abort', () => {
			if (this.#departure.reason instanceof ClosedConnectionError) {
				this.#answers.unwritten();
			}
		}, {once: true});
	}

	#answerEndedEarly(by: EarlyEnd, state?: ConnectedUpstream): void {
		if (by === 'block') {
			this.#answers.blocked(this.#blockedSuspects);
		} else if (by === 'stop') {
			this.#answers.stopping(state);
		} else {
			this.#answers.endedEarly(by, state);
		}
	}
}
