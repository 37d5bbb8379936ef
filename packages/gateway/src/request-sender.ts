/** Sends one request to the upstreams that are chosen for it, each time right after a look at its caller's connection. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Suspect} from '@yuccawood/crashes';
import type {AcceptedRequest} from './accepted-request.js';
import type {AnswerTiming} from './answer-timing.js';
import {MAX_LOOK_AGE_MS, MIN_START_SHARE} from './constants.js';
import type {EventRelay} from './event-relay.js';
import type {GatewayContext} from './gateway-context.js';
import type {SendControl} from './hedged-send.js';
import type {RequestNeeds} from './request-needs.js';
import type {EarlyEnd, SendResult} from './send-result.js';
import {timeFields} from './time-fields.js';
import {transmit} from './transmit.js';
import type {ConnectedUpstream} from './upstream-states.js';

export type RequestSenderOptions = {
	readonly context: GatewayContext;
	readonly request: AcceptedRequest;
	readonly response: ServerResponse;

	/** Forwards the events of a stream to the caller; undefined for requests without a stream. */
	readonly relay: EventRelay | undefined;
	readonly timing: AnswerTiming;
	readonly needs: RequestNeeds;
	readonly suspects: readonly Suspect[];

	/** Aborts when the caller leaves or the deadline passes. */
	readonly endSignal: AbortSignal;
	readonly endedBy: () => EarlyEnd | undefined;
	readonly canRetryElsewhere: (state: ConnectedUpstream) => boolean;
};

/** @returns whether the event loop is still in this turn or in the next one */
const untilTurnAfterNext = (): () => boolean => {
	let isOver = false;
	setImmediate(() => {
		setImmediate(() => {
			isOver = true;
		});
	});
	return () => !isOver;
};

export class RequestSender {
	readonly #options: RequestSenderOptions;
	#sends = 0;

	constructor(options: RequestSenderOptions) {
		this.#options = options;
	}

	/** Number of sends that were started. */
	get sends(): number {
		return this.#sends;
	}

	/** Whether an answer may begin within the time limit, whose timer fires late in a busy process. */
	get hasTime(): boolean {
		const {context: {clock, placer}, request: {deadlineAt, service}} = this.#options;
		return deadlineAt - clock.monotonic() > placer.fastestStartMs(service) * MIN_START_SHARE;
	}

	/** Passes the gate, again if the connection to the upstream took too long to open. */
	async send(state: ConnectedUpstream, control: SendControl): Promise<SendResult> {
		const {context: {gate, metrics}, request: {arrivedAt}, endSignal, endedBy} = this.#options;
		for (let isRepeat = false; ; isRepeat = true) {
			const passed = await gate.pass({stage: 'send', signal: endSignal, arrivedAt}, async () => this.#start(state, {isRepeat, control}));
			const result = passed.kind === 'done' ? await passed.value : undefined;
			if (result === undefined) {
				return {
					kind: 'ended', by: endedBy() ?? 'deadline', mayHaveRun: false, isSilence: false,
				};
			}

			if (result.kind !== 'failed' || !result.isOutdated) {
				return result;
			}

			this.#sends--;
			metrics.count('gateway.outdated_sends');
		}
	}

	/** @returns undefined if too little time is left */
	async #start(state: ConnectedUpstream, {isRepeat, control}: {readonly isRepeat: boolean; readonly control: SendControl}): Promise<SendResult | undefined> {
		const {
			context, request, response, relay, timing, needs, suspects, endSignal, endedBy, canRetryElsewhere,
		} = this.#options;
		const {clock, codec, decisions, readDelay} = context;
		const {method, path, rawHeaders, body, account, deadlineAt, requestId} = request;
		if (!this.hasTime) {
			return undefined;
		}

		if (control.withdrawal.aborted) {
			return {
				kind: 'failed', failure: 'not-sent', detail: 'the send was withdrawn while it waited', mayHaveRun: false, isCancelled: true,
			};
		}

		if (!context.states.has(state.upstream.key) || state.isLeaving) {
			return {
				kind: 'failed', failure: 'not-sent', detail: 'the upstream began to leave before the send', mayHaveRun: false, isCancelled: true,
			};
		}

		this.#sends++;
		const now = clock.monotonic();
		// Undici writes on an idle connection one turn later. A process whose turns are long would never send otherwise.
		const isNextTurn = isRepeat ? untilTurnAfterNext() : () => false;
		const versionAtSend = state.heldVersion(now);
		const {oldestVersion} = needs.placement({excludedKeys: new Set(), isRetry: this.#sends > 1});
		const headers = codec.forwardedRequestHeaders(rawHeaders, {
			upstreamId: state.upstream.id,
			account,
			remainingMs: Math.max(1, Math.floor(deadlineAt - now)),
			lastEventId: relay?.lastId ?? request.lastEventId,
			// Upstreams refuse requests that expect another version than their own, also an older one.
			expectedVersion: oldestVersion === undefined ? undefined : Math.max(oldestVersion, versionAtSend ?? 0),
		});
		return transmit({
			context,
			request,
			response,
			relay,
			timing,
			state,
			upstreamRequest: {
				method, path, headers, body: body && Buffer.from(body.buffer, body.byteOffset, body.byteLength), requestId,
				onSent() {
					decisions.ordinary(requestId, 'Sent.', () => ({
						upstream: state.upstream.id, connectionMs: Math.round(clock.monotonic() - now), ...timeFields(context, request),
					}));
				},
				mustNotWait: isRepeat,
				isCurrent: () => clock.monotonic() < deadlineAt && (isNextTurn() || readDelay.boundMs <= MAX_LOOK_AGE_MS),
			},
			suspects,
			endSignal,
			endedBy,
			control,
			noDataTimeoutMs: () => needs.noDataTimeoutMs(state, {hasAnswerBegun: timing.firstDataAt !== undefined}),
			pathSilenceMs: () => needs.pathSilenceMs(),
			canRetryElsewhere: () => canRetryElsewhere(state),
			hasTimeElsewhere: () => this.hasTime,
			msUntilCancel: () => needs.msUntilCancel(state, versionAtSend),
			msSinceExpiry: version => needs.msSinceExpiry(version),
		});
	}
}
