/** Handles one accepted request: chooses an upstream, sends the request, forwards the answer, and retries where the route allows it. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	decideRetry, EXPIRING_VERSION_MS, isRetryable, cancelAt, MAX_READING_GOAL_SHARE, readingTokensPerMs, requiredVersion, silenceLimitMs, type PlacementRequirements,
} from '@yuccawood/dispatch';
import type {EngineProfile} from '@yuccawood/fleet';
import {EventRelay} from './answer-sinks.js';
import {
	MIN_NO_DATA_TIMEOUT_MS, MIN_ANSWER_TIMEOUT_MS, NO_DATA_TIMEOUT_GOALS, ANSWER_TIMEOUT_GOALS, UNAVAILABLE_RETRY_MS,
} from './constants.js';
import {fingerprintOf} from './crash-watch.js';
import type {AcceptedRequest, GatewayContext} from './gateway-context.js';
import {sendGatewayAnswer} from './own-answer.js';
import type {PlacementResult} from './placer.js';
import type {GatewayAnswer} from './types.js';
import {AnswerTiming, transmit, type SendResult} from './transmit.js';
import type {ConnectedUpstream} from './upstream-states.js';

export class Exchange {
	readonly #context: GatewayContext;
	readonly #request: AcceptedRequest;
	readonly #response: ServerResponse;
	readonly #abortController = new AbortController();
	readonly #excluded = new Set<string>();
	readonly #fingerprint: string;
	readonly #relay: EventRelay | undefined;
	#endedBy: 'caller' | 'deadline' | undefined;
	#sendCount = 0;
	#possibleRunCount = 0;

	/** Whether an upstream may have run the request, in any attempt. */
	#mayHaveRun = false;

	readonly #timing = new AnswerTiming();
	#expectedVersion: number | undefined;

	constructor(context: GatewayContext, request: AcceptedRequest, response: ServerResponse) {
		this.#context = context;
		this.#request = request;
		this.#response = response;
		this.#fingerprint = fingerprintOf(request);
		this.#relay = request.route.kind === 'stream'
			? new EventRelay({
				response, eventNumber: context.codec.parseEventNumber, lastId: request.lastEventId, mustClose: context.isDraining,
			})
			: undefined;
	}

	/** Resolves once the caller has a final answer or has disconnected. */
	async run(): Promise<void> {
		const {clock} = this.#context;
		const {deadlineAt} = this.#request;
		const timer = setTimeout(() => {
			this.#end('deadline');
		}, Math.max(0, deadlineAt - clock.monotonic()));
		const onClose = (): void => {
			if (!this.#response.writableFinished) {
				this.#end('caller');
			}
		};

		this.#response.on('close', onClose);
		try {
			await this.#serve();
		} finally {
			clearTimeout(timer);
			this.#response.off('close', onClose);
		}
	}

	#end(by: 'caller' | 'deadline'): void {
		this.#endedBy ??= by;
		this.#abortController.abort();
	}

	async #serve(): Promise<void> {
		const {crashWatch, placer, decisions} = this.#context;
		const {route, service, account, priority, deadlineAt, requestId} = this.#request;
		if (crashWatch.isRejected(this.#fingerprint)) {
			this.#answer({status: 503, outcome: 'not-run', reason: 'Upstreams crashed while they ran this request.'});
			return;
		}

		for (;;) {
			const placed = await placer.place({
				service,
				need: () => this.#placementNeed(),
				account: account ?? '',
				priority,
				goalAt: this.#firstDataGoalAt(),
				deadlineAt,
				returnRecognizedAt: this.#request.returnRecognizedAt,
				signal: this.#abortController.signal,
			});
			if (placed.kind !== 'placed') {
				this.#answerNotPlaced(placed);
				return;
			}

			decisions.ordinary(requestId, 'Placed.', () => ({
				route: route.name, upstream: placed.state.upstream.id, load: placed.load, waitedMs: Math.round(placed.waitedMs),
				sends: this.#sendCount + 1, remainingMs: Math.round(deadlineAt - this.#context.clock.monotonic()),
			}));
			const result = await this.#send(placed.state);
			if (result.kind === 'delivered') {
				this.#recordDelivery(placed.state, placed.load, placed.waitedMs);
				return;
			}

			if (result.kind === 'ended') {
				this.#answerEndedEarly(result.by, placed.state);
				return;
			}

			if (!this.#mayRetry(result, placed.state)) {
				this.#answerFailed(result);
				return;
			}
		}
	}

	/**
	Monotonic time by which the first data of the next attempt should arrive. A retry may have missed the goal for the
	first data already, so it gets the route's goal for the longest gap between data instead.
	*/
	#firstDataGoalAt(): number {
		const {route, goalAt} = this.#request;
		return this.#mayHaveRun ? this.#context.clock.monotonic() + (route.gapGoalMs ?? route.goalMs) : goalAt;
	}

	#placementNeed(): Omit<PlacementRequirements, 'usualStartMs'> {
		const {view, clock, versionBoundMs, failureDomain, states} = this.#context;
		const {service, route, promptTokens} = this.#request;
		const engine = this.#engine;
		const model = engine ? this.#modelOf(service) : undefined;
		const requiredVersionAt = (now: number): number | undefined => model === undefined
			? undefined
			: requiredVersion(view.targetsOf(model), {now, boundMs: versionBoundMs, canCancel: isRetryable(route)});
		const now = clock.monotonic();
		const oldestVersion = requiredVersionAt(now);
		this.#expectedVersion = oldestVersion;
		return {
			failureDomain, excludedKeys: this.#excluded, isRetry: this.#sendCount > 0, needsWeights: engine !== undefined, oldestVersion, oldestVersionSoon: requiredVersionAt(now + EXPIRING_VERSION_MS),
			reading: engine && {promptTokens: promptTokens ?? engine.usualPromptTokens, tokensPerMs: readingTokensPerMs(engine), limitMs: route.goalMs * MAX_READING_GOAL_SHARE},
		};
	}

	/** Published costs of the engines of the service; undefined for plain services. */
	get #engine(): EngineProfile | undefined {
		return this.#context.view.inForce?.configuration.services.find(({name}) => name === this.#request.service)?.engine;
	}

	#modelOf(service: string): string | undefined {
		return this.#context.states.of(service).map(({upstream}) => upstream.model?.name).find(name => name !== undefined);
	}

	/** Decides whether to retry after a failed attempt. A granted retry excludes the failed upstream and may use up the retry budget. */
	#mayRetry({failure, detail, bufferedAnswer, isSilence}: SendResult & {readonly kind: 'failed'}, state: ConnectedUpstream): boolean {
		const {clock, retryBudgetOf, decisions, metrics} = this.#context;
		const {route, service, deadlineAt, requestId} = this.#request;
		const now = clock.monotonic();
		const budget = retryBudgetOf(service);
		const decision = bufferedAnswer?.hasBegunForwarding
			? {kind: 'give-up' as const, reason: 'answer-begun'}
			: decideRetry({
				kind: route.kind, isResumable: route.isResumable, failure, runs: this.#possibleRunCount, sends: this.#sendCount,
				attempts: route.attempts, remainingMs: deadlineAt - now, hasBudget: budget.allowsRetry(now), isAfterSilence: isSilence,
			});
		decisions.unusual(requestId, decision.kind === 'resend' ? 'Sent again after a failure.' : 'Given up after a failure.', () => ({
			route: route.name, upstream: state.upstream.id, failure, detail, sends: this.#sendCount, runs: this.#possibleRunCount,
			reason: decision.kind === 'resend' ? undefined : decision.reason, events: this.#relay?.eventCount, remainingMs: Math.round(deadlineAt - now),
		}));
		metrics.count('gateway.send_failures', {failure, decision: decision.kind});
		if (decision.kind === 'give-up') {
			return false;
		}

		this.#excluded.add(state.upstream.key);
		if (decision.usesBudget) {
			budget.countRetry(now);
		}

		return true;
	}

	async #send(state: ConnectedUpstream): Promise<SendResult> {
		const {clock, codec, placer, states} = this.#context;
		const {method, path, rawHeaders, body, account, deadlineAt, service, requestId} = this.#request;
		this.#sendCount++;
		const headers = codec.forwardedRequestHeaders(rawHeaders, {
			upstreamId: state.upstream.id,
			account,
			remainingMs: Math.max(1, Math.floor(deadlineAt - clock.monotonic())),
			lastEventId: this.#relay?.lastId ?? this.#request.lastEventId,
			expectedVersion: this.#expectedVersion,
		});
		const result = await transmit({
			context: this.#context,
			request: this.#request,
			response: this.#response,
			relay: this.#relay,
			timing: this.#timing,
			state,
			upstreamRequest: {
				method, path, headers, body: body && Buffer.from(body.buffer, body.byteOffset, body.byteLength), requestId,
			},
			fingerprint: this.#fingerprint,
			endSignal: this.#abortController.signal,
			endedBy: () => this.#endedBy,
			noDataTimeoutMs: () => this.#noDataTimeoutMs(state),
			canRetryElsewhere: () => this.#canRetryElsewhere(state),
			msUntilCancel: () => this.#msUntilCancel(state),
		});
		if (result.mayHaveRun) {
			this.#possibleRunCount++;
			this.#mayHaveRun = true;
		}

		state.endRequest();
		this.#updateHealth(state, result);
		if (states.has(state.upstream.key)) {
			placer.recordFreedSlot(service);
		}

		return result;
	}

	#recordDelivery(state: ConnectedUpstream, load: number, waitedMs: number): void {
		const {metrics, decisions, clock} = this.#context;
		const {service, arrivedAt, goalAt, route, requestId} = this.#request;
		const firstMs = (this.#timing.firstDataAt ?? clock.monotonic()) - arrivedAt;
		const isLate = arrivedAt + firstMs > goalAt || this.#timing.longestGapMs > (route.gapGoalMs ?? Number.POSITIVE_INFINITY);
		metrics.timing('gateway.first_data_ms', firstMs, {service});
		metrics.count('gateway.delivered', {service, late: String(isLate)});
		decisions.ordinary(requestId, 'Delivered.', () => ({
			route: route.name, upstream: state.upstream.id, load, waitedMs: Math.round(waitedMs), firstMs: Math.round(firstMs), longestGapMs: Math.round(this.#timing.longestGapMs),
			sends: this.#sendCount, events: this.#relay?.eventCount, late: isLate,
		}));
	}

	/** Time without data, in milliseconds, after which the request is retried at another upstream; undefined if the route forbids retries. */
	#noDataTimeoutMs(state: ConnectedUpstream): number | undefined {
		const {clock, placer, states} = this.#context;
		const {route, service} = this.#request;
		if (!isRetryable(route)) {
			return undefined;
		}

		if (route.kind !== 'stream') {
			return Math.max(MIN_ANSWER_TIMEOUT_MS, route.goalMs * ANSWER_TIMEOUT_GOALS);
		}

		const baseMs = Math.max(MIN_NO_DATA_TIMEOUT_MS, route.goalMs * NO_DATA_TIMEOUT_GOALS);
		// Once an answer has begun, the load of its engine explains no longer gaps.
		return this.#timing.firstDataAt === undefined
			? silenceLimitMs(baseMs, states.viewOf(state, clock.monotonic()), {usualStartMs: placer.usualStartMs(service), engine: this.#engine})
			: baseMs;
	}

	/**
	Time in milliseconds until a request that waits at the upstream has to be cancelled because the upstream's version
	expires; undefined if the version does not expire or the request cannot be retried.
	*/
	#msUntilCancel(state: ConnectedUpstream): number | undefined {
		const {view, clock, versionBoundMs} = this.#context;
		const now = clock.monotonic();
		const heldVersion = state.heldVersion(now);
		const model = state.upstream.model?.name;
		if (heldVersion === undefined || model === undefined || !isRetryable(this.#request.route)) {
			return undefined;
		}

		const at = cancelAt(view.targetsOf(model), {heldVersion, boundMs: versionBoundMs});
		return at === undefined ? undefined : Math.max(0, at - now);
	}

	/** Whether a retry is allowed and another upstream has a free slot now. If none has, the current upstream may still answer. */
	#canRetryElsewhere(state: ConnectedUpstream): boolean {
		const {clock, retryBudgetOf, placer} = this.#context;
		const {route, service, deadlineAt} = this.#request;
		const now = clock.monotonic();
		const decision = decideRetry({
			kind: route.kind, isResumable: route.isResumable, failure: 'unknown', runs: this.#possibleRunCount + 1, sends: this.#sendCount,
			attempts: route.attempts, remainingMs: deadlineAt - now, hasBudget: retryBudgetOf(service).allowsRetry(now),
		});
		return decision.kind === 'resend' && placer.hasFreeSlot(service, {
			...this.#placementNeed(), excludedKeys: new Set([...this.#excluded, state.upstream.key]), isRetry: true,
		});
	}

	#updateHealth(state: ConnectedUpstream, result: SendResult): void {
		if (result.kind === 'delivered') {
			state.recordSuccess();
			return;
		}

		if (result.kind === 'ended') {
			// Requests on a congested path reach the upstream long after their callers have left, so it gets no more for a while.
			if (result.isSilence) {
				this.#recordFailure(state, {detail: `no data until the request ended (${result.by})`, isFatal: false});
			}

			return;
		}

		if (result.isCancelled === true || (result.failure === 'not-run' && !result.isMisdirected)) {
			return;
		}

		// No process listens at the address, or a different one does. The list of upstreams may take some time to show that.
		const isFatal = (result.failure === 'not-sent' && result.isSilence !== true) || result.isMisdirected === true;
		this.#recordFailure(state, {detail: result.detail, isFatal});
	}

	#recordFailure(state: ConnectedUpstream, {detail, isFatal}: {readonly detail: string; readonly isFatal: boolean}): void {
		const {clock, decisions} = this.#context;
		if (state.recordFailure(clock.monotonic(), isFatal)) {
			decisions.unusual(this.#request.requestId, 'Upstream is suspended.', () => ({
				upstream: state.upstream.id, address: state.upstream.address, failures: state.health.failures, detail,
			}));
		}
	}

	#answerNotPlaced(placed: Exclude<PlacementResult, {readonly kind: 'placed'}>): void {
		const {decisions, metrics} = this.#context;
		const {requestId, route, service} = this.#request;
		if (placed.kind === 'cancelled') {
			this.#answerEndedEarly(this.#endedBy ?? 'caller', undefined);
			return;
		}

		const {reason, retryAfterMs, waitedMs, ahead} = placed;
		metrics.count('gateway.rejected', {service, reason});
		decisions.unusual(requestId, 'Rejected.', () => ({
			route: route.name, reason, retryAfterMs, waitedMs: Math.round(waitedMs), ahead, mayHaveRun: this.#mayHaveRun, sends: this.#sendCount,
		}));
		this.#answer(this.#mayHaveRun
			? {status: 502, outcome: 'unknown', reason: 'No other upstream is free to repeat the request.'}
			: {
				status: 503, outcome: 'not-run', reason: `Not served: ${reason}.`, retryAfterMs: Math.max(retryAfterMs, reason === 'no-upstream' ? UNAVAILABLE_RETRY_MS : 0),
			});
	}

	#answerEndedEarly(by: 'caller' | 'deadline', state: ConnectedUpstream | undefined): void {
		const {decisions, metrics} = this.#context;
		const {requestId, route} = this.#request;
		metrics.count('gateway.ended_early', {by});
		decisions.unusual(requestId, by === 'caller' ? 'The caller left.' : 'The time limit was reached.', () => ({
			route: route.name, upstream: state?.upstream.id, sends: this.#sendCount, events: this.#relay?.eventCount,
		}));
		if (by === 'deadline') {
			this.#answer(this.#mayHaveRun
				? {status: 504, outcome: 'unknown', reason: 'The time limit was reached.'}
				: {status: 503, outcome: 'not-run', reason: 'The time limit was reached before an upstream was free.'});
		}
	}

	#answerFailed({failure, bufferedAnswer}: SendResult & {readonly kind: 'failed'}): void {
		if (bufferedAnswer && failure === 'answered-error') {
			bufferedAnswer.deliver();
			return;
		}

		this.#answer(this.#mayHaveRun
			? {status: 502, outcome: 'unknown', reason: 'The upstream broke off.'}
			: {
				status: 503, outcome: 'not-run', reason: 'No upstream took the request.', retryAfterMs: UNAVAILABLE_RETRY_MS,
			});
	}

	/** Sends an error answer of the gateway. If an upstream's answer has begun, closes the connection so that it does not look complete. */
	#answer(answer: GatewayAnswer): void {
		const {codec, isDraining, metrics} = this.#context;
		if (this.#response.headersSent) {
			metrics.count('gateway.cut_answers');
			this.#response.destroy();
			return;
		}

		sendGatewayAnswer(this.#response, answer, {codec, requestId: this.#request.requestId, mustClose: isDraining()});
	}
}
