/** What was tried for one request, and whether it may be sent once more. Performs no I/O. */
import type {Suspect} from '@yuccawood/crashes';
import {
	decideRetry, type FailedRequest, type PlacementRequirements, type RetryDecision,
} from '@yuccawood/dispatch';
import type {AcceptedRequest} from './accepted-request.js';
import type {EventRelay} from './event-relay.js';
import type {GatewayContext} from './gateway-context.js';
import type {SendLoss} from './hedged-send.js';
import type {RequestNeeds} from './request-needs.js';
import type {SendResult} from './send-result.js';
import type {ConnectedUpstream} from './upstream-states.js';

export type RequestRetriesOptions = {
	readonly context: GatewayContext;
	readonly request: AcceptedRequest;
	readonly relay: EventRelay | undefined;
	readonly needs: RequestNeeds;
	readonly suspects: readonly Suspect[];

	/** Number of sends that were started. */
	readonly sends: () => number;
};

type Failed = SendResult & {readonly kind: 'failed'};

export class RequestRetries {
	readonly #options: RequestRetriesOptions;
	readonly #excluded = new Set<string>();
	#possibleRunCount = 0;

	constructor(options: RequestRetriesOptions) {
		this.#options = options;
	}

	/** Whether an upstream may have run the request, in any attempt. */
	get mayHaveRun(): boolean {
		return this.#possibleRunCount > 0;
	}

	/** What the next send needs of an upstream. */
	get placementNeed(): Omit<PlacementRequirements, 'usualStartMs'> {
		return this.#options.needs.placement({excludedKeys: this.#excluded, isRetry: this.#options.sends() > 0});
	}

	recordResult({mayHaveRun}: Pick<SendResult, 'mayHaveRun'>): void {
		if (mayHaveRun) {
			this.#possibleRunCount++;
		}
	}

	/** Decides whether to retry after the last send in progress failed. A granted retry excludes the failed upstream and may use up the retry budget. */
	mayRetry({failure, detail, bufferedAnswer, isSilence, isSuspect = false}: Failed, state: ConnectedUpstream): boolean {
		const {context: {metrics, crashReview}, suspects} = this.#options;
		const decision = bufferedAnswer?.hasBegunForwarding
			? {kind: 'give-up' as const, reason: 'answer-begun'}
			: this.#decide({
				failure, runs: this.#possibleRunCount, isAfterSilence: isSilence, isSuspect: isSuspect && crashReview.isSuspected(suspects),
			});
		this.#log(decision.kind === 'resend' ? 'Sent again after a failure.' : 'Given up after a failure.', state, {
			failure, detail, reason: decision.kind === 'resend' ? undefined : decision.reason,
		});
		metrics.count('gateway.send_failures', {failure, decision: decision.kind});
		if (decision.kind === 'give-up') {
			return false;
		}

		this.#excluded.add(state.upstream.key);
		this.#use(decision);
		return true;
	}

	/** Whether a retry is allowed and another upstream has a free slot now. If none has, the current upstream may still answer. */
	canRetryElsewhere(state: ConnectedUpstream): boolean {
		const {context: {placer}, request: {service}} = this.#options;
		return this.#decideElsewhere().kind === 'resend' && placer.hasFreeSlot(service, this.#needElsewhere(state));
	}

	/** Takes a slot of another upstream for the rest of a stream whose upstream is silent, and uses the retry budget; undefined if that is not allowed or none is free. */
	takeHedgeSlot(silent: ConnectedUpstream, refusedBy: ReadonlySet<string>, silentMs: number): ConnectedUpstream | undefined {
		const {context: {placer, metrics}, request: {service}} = this.#options;
		const decision = this.#decideElsewhere();
		const next = decision.kind === 'resend' ? placer.takeFreeSlot(service, this.#needElsewhere(silent, refusedBy)) : undefined;
		if (decision.kind !== 'resend' || !next) {
			return undefined;
		}

		this.#use(decision);
		metrics.count('gateway.hedges', {service});
		this.#log('Asked another upstream for the rest of a silent stream.', silent, {next: next.upstream.id, silentMs: Math.round(silentMs)});
		return next;
	}

	/** Records that one of two sends failed or ended and the other one goes on. */
	recordLoss({state, result}: SendLoss): void {
		if (result.kind === 'ended') {
			this.#log('One of two sends ended.', state, {by: result.by});
			return;
		}

		const {failure, detail, isCancelled} = result;
		this.#log('One of two sends failed.', state, {failure, detail});
		this.#options.context.metrics.count('gateway.send_failures', {failure, decision: 'other-send'});
		if (failure !== 'not-run' && !isCancelled) {
			this.#excluded.add(state.upstream.key);
		}
	}

	#decide(attempt: Pick<FailedRequest, 'failure' | 'runs' | 'isAfterSilence' | 'isSuspect'>): RetryDecision {
		const {context: {retryBudgetOf, stopLimit, clock}, request, relay, sends} = this.#options;
		const {route, service, deadlineAt} = request;
		const now = clock.monotonic();
		return decideRetry({
			...attempt, kind: route.kind, isResumable: route.isResumable && relay?.canContinue !== false, sends: sends(), attempts: route.attempts,
			remainingMs: stopLimit.canAnswer(request) ? deadlineAt - now : 0, hasBudget: retryBudgetOf(service).allowsRetry(now),
		});
	}

	/** The send in progress counts as a run. */
	#decideElsewhere(): RetryDecision {
		return this.#decide({failure: 'unknown', runs: this.#possibleRunCount + 1});
	}

	#needElsewhere(state: ConnectedUpstream, refusedBy: ReadonlySet<string> = new Set()): Omit<PlacementRequirements, 'usualStartMs'> {
		return this.#options.needs.placement({excludedKeys: new Set([...this.#excluded, ...refusedBy, state.upstream.key]), isRetry: true});
	}

	#use({usesBudget}: RetryDecision & {readonly kind: 'resend'}): void {
		const {context: {retryBudgetOf, clock}, request: {service}} = this.#options;
		if (usesBudget) {
			retryBudgetOf(service).countRetry(clock.monotonic());
		}
	}

	#log(message: string, state: ConnectedUpstream, fields: Readonly<Record<string, unknown>>): void {
		const {context: {decisions, clock}, request: {requestId, route, deadlineAt}, relay, sends} = this.#options;
		decisions.unusual(requestId, message, () => ({
			route: route.name, upstream: state.upstream.id, ...fields, sends: sends(), runs: this.#possibleRunCount, events: relay?.eventCount,
			remainingMs: Math.round(deadlineAt - clock.monotonic()),
		}));
	}
}
