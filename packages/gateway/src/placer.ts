/** Assigns requests to free slots of upstreams: immediately, after waiting in the queue of their service, or not at all. */
import type {Clock, Metrics, Random} from '@yuccawood/common';
import {
	admitWaiting, chooseUpstream, retryAfterMs, RequestQueue, type Placement, type PlacementRequirements, type QueuedRequest, type UnplacedRequest,
} from '@yuccawood/dispatch';
import {SERVICE_AVERAGE_WEIGHT, DEFAULT_TIME_TO_FIRST_DATA_MS, FREED_SLOTS_WINDOW_MS} from './constants.js';
import type {UpstreamState, UpstreamStates} from './upstream-states.js';

export type PlacementRequest = {
	readonly service: string;
	readonly need: () => Omit<PlacementRequirements, 'usualStartMs'>;
	readonly account: string;
	readonly priority: number;

	/** Monotonic times in milliseconds. */
	readonly goalAt: number;
	readonly deadlineAt: number;
	readonly signal: AbortSignal;
};

export type PlacementResult =
	{readonly kind: 'placed'; readonly state: UpstreamState; readonly load: number; readonly waitedMs: number}
	| {readonly kind: 'rejected'; readonly reason: string; readonly retryAfterMs: number; readonly waitedMs: number; readonly ahead: number}
	| {readonly kind: 'cancelled'};

type Resolve = (placed: PlacementResult) => void;
type QueuedPlacement = {readonly request: PlacementRequest; readonly resolve: Resolve; readonly queuedAt: number; timer?: NodeJS.Timeout};

class ServiceQueue {
	readonly queue = new RequestQueue<QueuedPlacement>();
	readonly slotsFreedAt: number[] = [];
	timeToFirstDataMs = DEFAULT_TIME_TO_FIRST_DATA_MS;
}

export type PlacerOptions = {
	readonly states: UpstreamStates;
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
};

export class Placer {
	readonly #options: PlacerOptions;
	readonly #queues = new Map<string, ServiceQueue>();

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	async place(request: PlacementRequest): Promise<PlacementResult> {
		const now = this.#options.clock.monotonic();
		const serviceQueue = this.#queueOf(request.service);
		// Slots may have become free without a notification, for example when a suspension ended. Queued requests go first.
		if (serviceQueue.queue.length > 0) {
			this.placeQueued(request.service);
		}

		const isQueueEmpty = serviceQueue.queue.length === 0;
		const placement = this.#choose(request, now);
		if (placement.kind === 'send' && isQueueEmpty) {
			return this.#takeSlot(placement, now, now);
		}

		if (placement.kind === 'unavailable' && !placement.isLoading) {
			return this.#reject(placement.reason, this.#admissionNeed(request, {serviceQueue, now, isServed: false}), 0);
		}

		const need = this.#admissionNeed(request, {serviceQueue, now, isServed: placement.kind !== 'unavailable'});
		const admission = admitWaiting(need, this.#options.random.next());
		if (admission.kind === 'reject') {
			return {
				kind: 'rejected', reason: admission.reason, retryAfterMs: admission.retryAfterMs, waitedMs: 0, ahead: need.ahead,
			};
		}

		return this.#enqueue(request, serviceQueue, now, admission.forMs);
	}

	/** Whether a request with this need would get a slot without waiting. */
	hasFreeSlot(service: string, need: Omit<PlacementRequirements, 'usualStartMs'>): boolean {
		return this.#queueOf(service).queue.length === 0 && this.#choose({service, need: () => need}, this.#options.clock.monotonic()).kind === 'send';
	}

	/** Records that a slot became free, and gives it to a queued request. */
	recordFreedSlot(service: string): void {
		const serviceQueue = this.#queueOf(service);
		serviceQueue.slotsFreedAt.push(this.#options.clock.monotonic());
		this.placeQueued(service);
	}

	/** Adds the time from a send to the first byte of its answer to the average of the service. The engine has read the prompt, so a queued request may fit. */
	recordTimeToFirstData(service: string, milliseconds: number): void {
		const serviceQueue = this.#queueOf(service);
		serviceQueue.timeToFirstDataMs += (milliseconds - serviceQueue.timeToFirstDataMs) * SERVICE_AVERAGE_WEIGHT;
		this.placeQueued(service);
	}

	/** Recent time from a send to the first byte of its answer at the upstreams of a service, in milliseconds. */
	usualStartMs(service: string): number {
		return this.#queueOf(service).timeToFirstDataMs;
	}

	/** Assigns queued requests to free slots until either runs out. */
	placeQueued(service: string): void {
		const {queue} = this.#queueOf(service);
		const now = this.#options.clock.monotonic();
		for (let next = queue.peek(now); next; next = queue.peek(now)) {
			const placement = this.#choose(next.item.request, now);
			if (placement.kind !== 'send') {
				return;
			}

			queue.removeServed(next);
			this.#settle(next.item, this.#takeSlot(placement, next.item.queuedAt, now));
		}
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

	#queueOf(service: string): ServiceQueue {
		let serviceQueue = this.#queues.get(service);
		if (!serviceQueue) {
			serviceQueue = new ServiceQueue();
			this.#queues.set(service, serviceQueue);
		}

		return serviceQueue;
	}

	#choose(request: Pick<PlacementRequest, 'service' | 'need'>, now: number): Placement {
		const {states, random} = this.#options;
		const need = {...request.need(), usualStartMs: this.#queueOf(request.service).timeToFirstDataMs};
		return chooseUpstream(states.viewsOf(request.service, now), need, random.next());
	}

	#takeSlot({key, load}: Placement & {readonly kind: 'send'}, since: number, now: number): PlacementResult {
		const state = this.#options.states.find(key)!;
		state.beginRequest(now);
		return {
			kind: 'placed', state, load, waitedMs: now - since,
		};
	}

	#admissionNeed(request: PlacementRequest, {serviceQueue, now, isServed}: {readonly serviceQueue: ServiceQueue; readonly now: number; readonly isServed: boolean}): UnplacedRequest {
		const start = now - FREED_SLOTS_WINDOW_MS;
		while (serviceQueue.slotsFreedAt.length > 0 && serviceQueue.slotsFreedAt[0] < start) {
			serviceQueue.slotsFreedAt.shift();
		}

		const slackMs = request.goalAt - now - serviceQueue.timeToFirstDataMs;
		return {
			isServable: isServed,
			slackMs,
			remainingMs: request.deadlineAt - now - serviceQueue.timeToFirstDataMs,
			ahead: serviceQueue.queue.countAhead(request.priority, {isLate: slackMs <= 0, now}),
			freedSlotsPerSecond: serviceQueue.slotsFreedAt.length * 1000 / FREED_SLOTS_WINDOW_MS,
		};
	}

	#reject(reason: string, need: UnplacedRequest, waitedMs: number): PlacementResult {
		return {
			kind: 'rejected', reason, retryAfterMs: retryAfterMs(need, this.#options.random.next()), waitedMs, ahead: need.ahead,
		};
	}

	async #enqueue(request: PlacementRequest, serviceQueue: ServiceQueue, now: number, forMs: number): Promise<PlacementResult> {
		const {clock} = this.#options;
		return new Promise(resolve => {
			const item: QueuedPlacement = {request, resolve, queuedAt: now};
			const waiting: QueuedRequest<QueuedPlacement> = {
				item, account: request.account, priority: request.priority, goalAt: request.goalAt - serviceQueue.timeToFirstDataMs,
			};
			const cancel = (): void => {
				if (serviceQueue.queue.remove(waiting)) {
					this.#settle(item, {kind: 'cancelled'});
				}
			};

			item.timer = setTimeout(() => {
				request.signal.removeEventListener('abort', cancel);
				if (serviceQueue.queue.remove(waiting)) {
					const end = clock.monotonic();
					const placement = this.#choose(request, end);
					const isServed = placement.kind !== 'unavailable';
					const need = this.#admissionNeed(request, {serviceQueue, now: end, isServed});
					this.#settle(item, this.#reject(isServed ? 'waited-in-vain' : placement.reason, need, end - now));
				}
			}, forMs);
			request.signal.addEventListener('abort', cancel, {once: true});
			serviceQueue.queue.add(waiting);
			this.#options.metrics.count('gateway.waited', {service: request.service});
		});
	}

	#settle(item: QueuedPlacement, placed: PlacementResult): void {
		clearTimeout(item.timer);
		item.resolve(placed);
	}
}
