/**
Assigns requests to free slots of upstreams: immediately, after waiting in the queue of their service, or not at all.
Performs no I/O.
*/
import type {Metrics, Random} from '@yuccawood/common';
import {
	admitWaiting, chooseUpstream, retryAfterMs, RequestQueue, SlotTurnover, type Placement, type PlacementRequirements, type QueuedRequest, type SlotUse, type UnplacedRequest,
} from '@yuccawood/dispatch';
import {
	DEFAULT_TIME_TO_FIRST_DATA_MS, FASTEST_START_WINDOW_MS, MAX_CLAIMED, MAX_PASSED_OVER, SERVICE_AVERAGE_WEIGHT,
} from './constants.js';
import type {
	PlacementClock, PlacementRequest, PlacementResult, PlacementStates,
} from './placement.js';
import {RecentMinimum} from './recent-minimum.js';
import type {UpstreamState} from './upstream-state.js';

type QueuedPlacement<State extends UpstreamState> = {
	readonly request: PlacementRequest;
	readonly resolve: (placed: PlacementResult<State>) => void;
	readonly queuedAt: number;
	cancelTimer?: () => void;
};

/** What queued requests leave to new ones. */
type NextPlaces = {
	/** Whether a queued request goes before any new one. */
	readonly isOneNext: boolean;

	/** Keys of the upstreams that are left to queued requests with long prompts. */
	readonly claimedKeys: ReadonlySet<string>;
};

const NOBODY_NEXT: NextPlaces = {isOneNext: false, claimedKeys: new Set()};

class ServiceQueue<State extends UpstreamState> {
	readonly queue = new RequestQueue<QueuedPlacement<State>>();
	readonly turnover = new SlotTurnover();
	readonly fastestStart = new RecentMinimum({windowMs: FASTEST_START_WINDOW_MS});
	timeToFirstDataMs = DEFAULT_TIME_TO_FIRST_DATA_MS;
}

export type PlacerOptions<State extends UpstreamState> = {
	readonly states: PlacementStates<State>;
	readonly clock: PlacementClock;
	readonly random: Random;
	readonly metrics: Metrics;

	/** Most upstreams that are left to waiting requests with long prompts at a time; with 0 such a request holds up all behind it. */
	readonly maxClaimed?: number;
};

export class Placer<State extends UpstreamState> {
	readonly #options: PlacerOptions<State>;
	readonly #queues = new Map<string, ServiceQueue<State>>();

	constructor(options: PlacerOptions<State>) {
		this.#options = options;
	}

	async place(request: PlacementRequest): Promise<PlacementResult<State>> {
		if (request.signal.aborted) {
			return {kind: 'cancelled'};
		}

		const now = this.#options.clock.monotonic();
		const serviceQueue = this.#queueOf(request.service);
		// Slots may have become free without a notification, for example when a suspension ended. Queued requests go first.
		const {isOneNext, claimedKeys} = serviceQueue.queue.length > 0 ? this.placeQueued(request.service) : NOBODY_NEXT;
		const placement = this.#choose(request, now, claimedKeys);
		if (placement.kind === 'send' && !isOneNext) {
			return this.#takeSlot(placement, {service: request.service, since: now, now});
		}

		const need = this.#admissionNeed(request, {serviceQueue, now, placement});
		if (placement.kind === 'unavailable' && !placement.isLoading && placement.availableInMs === undefined) {
			return this.#reject(placement.reason, need, 0);
		}

		const admission = admitWaiting(need, this.#options.random.next());
		if (admission.kind === 'reject') {
			return {
				kind: 'rejected', reason: admission.reason, retryAfterMs: admission.retryAfterMs, waitedMs: 0, ahead: need.ahead,
			};
		}

		if (placement.kind === 'unavailable' && placement.availableInMs !== undefined) {
			this.#placeQueuedAfter(request.service, placement.availableInMs);
		}

		return this.#enqueue(request, serviceQueue, now, admission.forMs);
	}

	/** Whether a request with this need would get a slot without waiting. */
	hasFreeSlot(service: string, need: Omit<PlacementRequirements, 'usualStartMs'>): boolean {
		return this.#freeSlot(service, need, this.#options.clock.monotonic()) !== undefined;
	}

	/** Takes a slot for a request with this need if one is free without waiting. */
	takeFreeSlot(service: string, need: Omit<PlacementRequirements, 'usualStartMs'>): State | undefined {
		const now = this.#options.clock.monotonic();
		const placement = this.#freeSlot(service, need, now);
		return placement && this.#takeSlot(placement, {service, since: now, now}).state;
	}

	/** Records that a slot became free, and gives it to a queued request if it can be taken again. */
	freeSlot(service: string, use: Omit<SlotUse, 'freedAt'>): void {
		this.#queueOf(service).turnover.free({...use, freedAt: this.#options.clock.monotonic()});
		if (use.isUsable) {
			this.placeQueued(service);
		}
	}

	/**
	Adds the time from a send to the first byte of its answer to the average of the service. The engine has read the prompt,
	so a queued request may fit.
	*/
	recordTimeToFirstData(service: string, milliseconds: number): void {
		const serviceQueue = this.#queueOf(service);
		serviceQueue.fastestStart.record(milliseconds, this.#options.clock.monotonic());
		serviceQueue.timeToFirstDataMs += (milliseconds - serviceQueue.timeToFirstDataMs) * SERVICE_AVERAGE_WEIGHT;
		this.placeQueued(service);
	}

	/** Recent time from a send to the first byte of its answer at the upstreams of a service, in milliseconds. */
	usualStartMs(service: string): number {
		return this.#queueOf(service).timeToFirstDataMs;
	}

	/** Shortest recent time from a send to the first byte of its answer, in milliseconds; 0 if none was observed lately. */
	fastestStartMs(service: string): number {
		return this.#queueOf(service).fastestStart.at(this.#options.clock.monotonic()) ?? 0;
	}

	/**
	Assigns queued requests to free slots until either runs out. Those behind a request that is confined to some failure domains,
	or whose prompt no upstream reads in time, go on meanwhile. The upstream that will read the long prompt first is left to it.

	@returns whether a queued request goes before any new one, and the upstreams that are left to queued ones
	*/
	placeQueued(service: string): NextPlaces {
		const {maxClaimed = MAX_CLAIMED} = this.#options;
		const {queue} = this.#queueOf(service);
		const now = this.#options.clock.monotonic();
		const passedOver = new Set<QueuedRequest<QueuedPlacement<State>>>();
		const claimedKeys = new Set<string>();
		for (let next = queue.peek(now); next; next = queue.peek(now, passedOver)) {
			const {request} = next.item;
			const placement = this.#choose(request, now, claimedKeys);
			if (placement.kind !== 'send') {
				const isPromptTooLong = placement.kind === 'busy' && placement.reason === 'prompt-too-long' && claimedKeys.size < maxClaimed;
				if (isPromptTooLong) {
					claimedKeys.add(placement.nextKey);
				}

				if ((request.isConfined === true || isPromptTooLong) && passedOver.size < MAX_PASSED_OVER) {
					passedOver.add(next);
					continue;
				}

				return {isOneNext: true, claimedKeys};
			}

			if (claimedKeys.size > 0) {
				this.#options.metrics.count('gateway.passed_long_prompts', {service});
			}

			queue.removeServed(next);
			this.#settle(next.item, this.#takeSlot(placement, {service, since: next.item.queuedAt, now}));
		}

		return {isOneNext: false, claimedKeys};
	}

	placeAllQueued(): void {
		for (const service of this.#queues.keys()) {
			this.placeQueued(service);
		}
	}

	/** Number of queued requests by service. */
	get queueLengths(): ReadonlyMap<string, number> {
		return new Map([...this.#queues].map(([service, {queue}]) => [service, queue.length]));
	}

	/** Nothing else tells when an upstream takes requests again. */
	#placeQueuedAfter(service: string, milliseconds: number): void {
		// Timers may fire up to a millisecond early.
		this.#options.clock.schedule(Math.ceil(milliseconds) + 1, () => {
			this.placeQueued(service);
		});
	}

	#queueOf(service: string): ServiceQueue<State> {
		let serviceQueue = this.#queues.get(service);
		if (!serviceQueue) {
			serviceQueue = new ServiceQueue<State>();
			this.#queues.set(service, serviceQueue);
		}

		return serviceQueue;
	}

	#choose(request: Pick<PlacementRequest, 'service' | 'need' | 'goalAt'>, now: number, claimedKeys: ReadonlySet<string> = new Set()): Placement {
		const {states, random} = this.#options;
		const need = {
			...request.need(), claimedKeys, usualStartMs: this.#queueOf(request.service).timeToFirstDataMs, isLate: request.goalAt <= now,
		};
		return chooseUpstream(states.viewsOf(request.service, now), need, random.next());
	}

	#freeSlot(service: string, need: Omit<PlacementRequirements, 'usualStartMs'>, now: number): Placement & {readonly kind: 'send'} | undefined {
		if (this.#queueOf(service).queue.length > 0) {
			return undefined;
		}

		const placement = this.#choose({service, need: () => need, goalAt: Number.POSITIVE_INFINITY}, now);
		return placement.kind === 'send' ? placement : undefined;
	}

	#takeSlot({key, load}: Placement & {readonly kind: 'send'}, {service, since, now}: {readonly service: string; readonly since: number; readonly now: number}): PlacementResult<State> & {readonly kind: 'placed'} {
		const state = this.#options.states.find(key)!;
		state.beginRequest(now);
		this.#queueOf(service).turnover.take(now);
		return {
			kind: 'placed', state, load, waitedMs: now - since,
		};
	}

	#admissionNeed(request: PlacementRequest, {serviceQueue, now, placement}: {readonly serviceQueue: ServiceQueue<State>; readonly now: number; readonly placement: Placement}): UnplacedRequest {
		const slackMs = request.goalAt - now - serviceQueue.timeToFirstDataMs;
		return {
			isServable: placement.kind !== 'unavailable',
			availableInMs: placement.kind === 'unavailable' ? placement.availableInMs : undefined,
			slackMs,
			remainingMs: request.deadlineAt - now - serviceQueue.timeToFirstDataMs,
			msUntilReturnIsRecognized: Math.max(0, request.returnRecognizedAt - now),
			ahead: serviceQueue.queue.countAhead(request.priority, {isLate: slackMs <= 0, now}),
			freedSlotsPerSecond: serviceQueue.turnover.freedPerSecond(now),
		};
	}

	#reject(reason: string, need: UnplacedRequest, waitedMs: number): PlacementResult<State> {
		return {
			kind: 'rejected', reason, retryAfterMs: retryAfterMs(need, this.#options.random.next()), waitedMs, ahead: need.ahead,
		};
	}

	async #enqueue(request: PlacementRequest, serviceQueue: ServiceQueue<State>, now: number, forMs: number): Promise<PlacementResult<State>> {
		const {clock} = this.#options;
		return new Promise(resolve => {
			const item: QueuedPlacement<State> = {request, resolve, queuedAt: now};
			const waiting: QueuedRequest<QueuedPlacement<State>> = {
				item, account: request.account, priority: request.priority, goalAt: request.goalAt - serviceQueue.timeToFirstDataMs,
			};
			const cancel = (): void => {
				if (serviceQueue.queue.remove(waiting)) {
					this.#settle(item, {kind: 'cancelled'});
				}
			};

			item.cancelTimer = clock.schedule(forMs, () => {
				request.signal.removeEventListener('abort', cancel);
				if (serviceQueue.queue.remove(waiting)) {
					const end = clock.monotonic();
					const placement = this.#choose(request, end);
					const need = this.#admissionNeed(request, {serviceQueue, now: end, placement});
					this.#settle(item, this.#reject(placement.kind === 'unavailable' ? placement.reason : 'waited-in-vain', need, end - now));
				}
			});
			request.signal.addEventListener('abort', cancel, {once: true});
			serviceQueue.queue.add(waiting);
			this.#options.metrics.count('gateway.waited', {service: request.service});
		});
	}

	#settle(item: QueuedPlacement<State>, placed: PlacementResult<State>): void {
		item.cancelTimer?.();
		item.resolve(placed);
	}
}
