/**
What one request needs of an upstream at a moment: version, time for its prompt, and the times after which to give up on it.
*/
import {
	cancelAt, EXPIRING_VERSION_MS, expiryOf, isRetryable, MAX_READING_GOAL_SHARE, pathSilenceMs, readingTokensPerMs, requiredVersion, silenceLimitMs, SLOW_PATH_MS, type PlacementRequirements,
} from '@yuccawood/dispatch';
import type {EngineProfile} from '@yuccawood/fleet';
import {
	ANSWER_TIMEOUT_GOALS, MIN_ANSWER_TIMEOUT_MS, MIN_NO_DATA_TIMEOUT_MS, NO_DATA_TIMEOUT_GOALS,
} from './constants.js';
import type {AcceptedRequest} from './accepted-request.js';
import type {GatewayContext} from './gateway-context.js';
import type {ConnectedUpstream} from './upstream-states.js';

export class RequestNeeds {
	readonly #context: GatewayContext;
	readonly #request: AcceptedRequest;

	constructor(context: GatewayContext, request: AcceptedRequest) {
		this.#context = context;
		this.#request = request;
	}

	/**
	Monotonic time in milliseconds by which the first data of the next attempt should arrive. A retry may have missed the goal
	for the first data already, so it gets the route's goal for the longest gap between data instead.
	*/
	firstDataGoalAt(mayHaveRun: boolean): number {
		const {route, goalAt} = this.#request;
		return mayHaveRun ? this.#context.clock.monotonic() + (route.gapGoalMs ?? route.goalMs) : goalAt;
	}

	placement(attempt: Pick<PlacementRequirements, 'excludedKeys' | 'isRetry'>): Omit<PlacementRequirements, 'usualStartMs'> {
		const {view, clock, placer, versionBoundMs, failureDomain, readDelay} = this.#context;
		const {route, service, promptTokens, allowedDomains} = this.#request;
		const engine = this.#engine;
		const model = this.#model;
		const requiredVersionAt = (now: number): number | undefined => model === undefined
			? undefined
			: requiredVersion(view.targetsOf(model), {
				now, boundMs: versionBoundMs, canCancel: isRetryable(route), usualStartMs: placer.usualStartMs(service),
			});
		const now = clock.monotonic();
		return {
			...attempt, failureDomain, allowedDomains, needsWeights: engine !== undefined, oldestVersion: requiredVersionAt(now), oldestVersionSoon: requiredVersionAt(now + EXPIRING_VERSION_MS),
			oldestVersionOnSlowPath: requiredVersionAt(now + SLOW_PATH_MS),
			answerGoalMs: engine ? undefined : route.goalMs, readDelayMs: readDelay.boundMs,
			reading: engine && {
				promptTokens: promptTokens ?? engine.usualPromptTokens, tokensPerMs: readingTokensPerMs(engine), limitMs: route.goalMs * MAX_READING_GOAL_SHARE,
			},
		};
	}

	/**
	Time without data, in milliseconds, after which the request is retried at another upstream; undefined if the route
	forbids retries.
	*/
	noDataTimeoutMs(state: ConnectedUpstream, {hasAnswerBegun}: {readonly hasAnswerBegun: boolean}): number | undefined {
		const {clock, placer, states} = this.#context;
		const {route, service} = this.#request;
		if (!isRetryable(route)) {
			return undefined;
		}

		if (route.kind !== 'stream') {
			return Math.max(MIN_ANSWER_TIMEOUT_MS, route.goalMs * ANSWER_TIMEOUT_GOALS);
		}

		const baseMs = Math.max(MIN_NO_DATA_TIMEOUT_MS, route.goalMs * NO_DATA_TIMEOUT_GOALS);
		// Once an answer has begun, the load of its engine does not explain longer gaps.
		return hasAnswerBegun
			? baseMs
			: silenceLimitMs(baseMs, states.viewOf(state, clock.monotonic()), {usualStartMs: placer.usualStartMs(service), engine: this.#engine});
	}

	/** Time in milliseconds after which an answer that has not begun counts as delayed on its way. */
	pathSilenceMs(): number {
		const {placer, readDelay} = this.#context;
		const {route, service} = this.#request;
		return pathSilenceMs({usualStartMs: placer.usualStartMs(service), answerGoalMs: this.#engine ? undefined : route.goalMs, readDelayMs: readDelay.boundMs});
	}

	/**
	Time in milliseconds until a request that waits at the upstream has to be cancelled because the upstream's version
	expires; undefined if the version does not expire or the request cannot be retried.

	@param versionAtSend version that the upstream held at the send, which counts while the present one is unknown
	*/
	msUntilCancel(state: ConnectedUpstream, versionAtSend: number | undefined): number | undefined {
		const {view, clock, versionBoundMs} = this.#context;
		const now = clock.monotonic();
		const heldVersion = state.heldVersion(now) ?? versionAtSend;
		const model = this.#model;
		if (heldVersion === undefined || model === undefined || !isRetryable(this.#request.route)) {
			return undefined;
		}

		const at = cancelAt(view.targetsOf(model), {heldVersion, boundMs: versionBoundMs});
		return at === undefined ? undefined : Math.max(0, at - now);
	}

	/** Time in milliseconds since a version of the model expired; undefined while it may answer. */
	msSinceExpiry(version: number): number | undefined {
		const {view, clock, versionBoundMs} = this.#context;
		const model = this.#model;
		const expiresAt = model === undefined ? undefined : expiryOf(view.targetsOf(model), {version, boundMs: versionBoundMs});
		const expiredMs = expiresAt === undefined ? 0 : clock.monotonic() - expiresAt;
		return expiredMs > 0 ? expiredMs : undefined;
	}

	/**
	Published costs of the engines of the service; undefined for plain services. A later configuration may lack the service
	while the request still waits, so the one that it was accepted under counts.
	*/
	get #engine(): EngineProfile | undefined {
		const {table, service} = this.#request;
		return table.configuration.services.find(({name}) => name === service)?.engine;
	}

	/** Comes from the configuration, because an engine is listed with a model only some time after it has loaded a version. */
	get #model(): string | undefined {
		return this.#engine?.models[0];
	}
}
