/** Final answers of the gateway to requests that no upstream has answered. They say `not-run` only if no upstream may have run the request. */
import type {ServerResponse} from 'node:http';
import type {AcceptedRequest} from './accepted-request.js';
import {STOPPING_RETRY_MS, UNAVAILABLE_RETRY_MS} from './constants.js';
import type {GatewayContext} from './gateway-context.js';
import {sendGatewayAnswer} from './own-answer.js';
import type {PlacementResult} from './placement.js';
import type {EarlyEnd, SendResult} from './send-result.js';
import {latestTimeFields, pathFields, timeFields} from './time-fields.js';
import type {GatewayAnswer} from './types.js';
import type {ConnectedUpstream} from './upstream-states.js';

/** What has happened to a request so far. */
export type ExchangeProgress = {
	/** Whether an upstream may have run the request, in any attempt. */
	readonly mayHaveRun: boolean;
	readonly sends: number;

	/** Events of the stream that the caller has; undefined if it is no stream. */
	readonly events: number | undefined;
};

export type FinalAnswersOptions = {
	readonly context: GatewayContext;
	readonly request: AcceptedRequest;
	readonly response: ServerResponse;
	readonly progress: () => ExchangeProgress;
};

/** Why a caller does not get the whole answer of an upstream. */
type AnswerEnding = {
	readonly cause: string;
	readonly detail?: string;

	/** The last upstream that worked on the request. */
	readonly state?: ConnectedUpstream;
};

export class FinalAnswers {
	readonly #options: FinalAnswersOptions;

	constructor(options: FinalAnswersOptions) {
		this.#options = options;
	}

	/** No upstream was free for the request. */
	notPlaced({reason, retryAfterMs, waitedMs, ahead}: PlacementResult & {readonly kind: 'rejected'}): void {
		const {mayHaveRun} = this.#reject(reason, {retryAfterMs, waitedMs: Math.round(waitedMs), ahead});
		this.#answer(mayHaveRun
			? {status: 502, outcome: 'unknown', reason: 'No other upstream is free to repeat the request.'}
			: {
				status: 503, outcome: 'not-run', reason: `Not served: ${reason}.`, retryAfterMs: Math.max(retryAfterMs, reason.startsWith('no-upstream') ? UNAVAILABLE_RETRY_MS : 0),
			}, {cause: reason});
	}

	/** Upstreams crash under these suspects. */
	blocked(suspects: readonly string[]): void {
		const {blocklist} = this.#options.context.crashReview;
		const retryAfterMs = Math.max(UNAVAILABLE_RETRY_MS, ...suspects.map(id => blocklist.msUntilTrial(id)));
		const {mayHaveRun} = this.#reject('crashes', {suspects, retryAfterMs: Math.round(retryAfterMs)});
		const reason = 'Upstreams crashed while they ran this request or others with a part of its prompt.';
		this.#answer(mayHaveRun
			? {status: 502, outcome: 'unknown', reason}
			: {
				status: 503, outcome: 'not-run', reason, retryAfterMs,
			}, {cause: 'crashes'});
	}

	/**
	This entry ends before it could answer.

	@param state the upstream that worked on the request; undefined if none did
	*/
	stopping(state?: ConnectedUpstream): void {
		const {random} = this.#options.context;
		const {mayHaveRun} = this.#reject('stopping', timeFields(this.#options.context, this.#options.request));
		const reason = 'This entry stops.';
		this.#answer(mayHaveRun
			? {status: 504, outcome: 'unknown', reason}
			: {
				status: 503, outcome: 'not-run', reason, retryAfterMs: Math.round(STOPPING_RETRY_MS * (0.5 + random.next())),
			}, {cause: 'stopping', state, mustClose: true});
	}

	endedEarly(by: Exclude<EarlyEnd, 'block' | 'stop'>, state: ConnectedUpstream | undefined): void {
		const {context, request, progress} = this.#options;
		const {decisions, metrics} = context;
		const {requestId, route} = request;
		const {mayHaveRun, sends, events} = progress();
		metrics.count('gateway.ended_early', {by});
		decisions.unusual(requestId, by === 'caller' ? 'The caller left.' : 'The time limit was reached.', () => ({
			route: route.name, upstream: state?.upstream.id, sends, mayHaveRun, events, ...timeFields(context, request), ...pathFields(context, state),
		}));
		if (by === 'deadline') {
			this.#answer(mayHaveRun
				? {status: 504, outcome: 'unknown', reason: 'The time limit was reached.'}
				: {status: 503, outcome: 'not-run', reason: 'The time limit was reached before an upstream was free.'}, {cause: by, state});
		}
	}

	/** The last attempt failed, and the request is not retried. */
	failed({failure, detail, bufferedAnswer}: SendResult & {readonly kind: 'failed'}, state: ConnectedUpstream): void {
		if (bufferedAnswer && failure === 'answered-error') {
			bufferedAnswer.deliver();
			return;
		}

		this.#answer(this.#options.progress().mayHaveRun
			? {status: 502, outcome: 'unknown', reason: 'The upstream broke off.'}
			: {
				status: 503, outcome: 'not-run', reason: 'No upstream took the request.', retryAfterMs: UNAVAILABLE_RETRY_MS,
			}, {cause: failure, detail, state});
	}

	/** Logs that an answer was passed on whole, but its connection was closed before it was written. */
	unwritten(): void {
		this.#lose('The connection of an answer was closed before it was written.', {cause: 'unwritten'});
	}

	#reject(reason: string, fields: Readonly<Record<string, unknown>>): ExchangeProgress {
		const {context: {decisions, metrics}, request: {requestId, route, service}, progress} = this.#options;
		const present = progress();
		metrics.count('gateway.rejected', {service, reason});
		decisions.unusual(requestId, 'Rejected.', () => ({
			route: route.name, reason, mayHaveRun: present.mayHaveRun, sends: present.sends, ...fields,
		}));
		return present;
	}

	/** Sends an error answer of the gateway. If an upstream's answer has begun, closes the connection so that it does not look complete. */
	#answer(answer: GatewayAnswer, {mustClose = this.#options.context.isDraining(), ...ending}: AnswerEnding & {readonly mustClose?: boolean}): void {
		const {context: {codec}, request: {requestId}, response} = this.#options;
		if (response.headersSent) {
			this.#lose('An answer was cut.', ending);
			response.destroy();
			return;
		}

		sendGatewayAnswer(response, answer, {codec, requestId, mustClose});
	}

	#lose(message: string, {cause, detail, state}: AnswerEnding): void {
		const {context, request, progress} = this.#options;
		const {requestId, route} = request;
		context.metrics.count('gateway.cut_answers', {cause});
		const {sends, events} = progress();
		context.decisions.lost(requestId, message, {
			route: route.name, cause, detail, upstream: state?.upstream.id, sends, events, ...timeFields(context, request), ...latestTimeFields(context, request), ...pathFields(context, state),
		});
	}
}
