/** Gives requests a place at an upstream: at once, after waiting in a line, or not at all. */
import type {Clock, Metrics, Random} from '@yuccawood/common';
import {
	admitWaiting, chooseUpstream, retryAfterMs, WaitingLine, type Placement, type PlacementNeed, type Waiting, type WaitingNeed,
} from '@yuccawood/dispatch';
import {SERVICE_AVERAGE_WEIGHT, DEFAULT_TIME_TO_FIRST_DATA_MS, FREED_SLOTS_WINDOW_MS} from './constants.js';
import type {UpstreamState, UpstreamStates} from './upstream-states.js';

export type PlacementRequest = {
	readonly service: string;
	readonly need: () => Omit<PlacementNeed, 'usualStartMs'>;
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
type QueuedRequest = {readonly request: PlacementRequest; readonly resolve: Resolve; readonly queuedAt: number; timer?: NodeJS.Timeout};

class ServiceQueue {
	readonly queue = new WaitingLine<QueuedRequest>();
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
		const service = this.#queueOf(request.service);
		// Places may have become free without a sign; those that wait go first.
		if (service.queue.length > 0) {
			this.placeQueued(request.service);
		}

		const isLineEmpty = service.queue.length === 0;
		const placement = this.#choose(request, now);
		if (placement.kind === 'send' && isLineEmpty) {
			return this.#takeSlot(placement, now, now);
		}

		if (placement.kind === 'unavailable' && !placement.isLoading) {
			return this.#reject(placement.reason, this.#admissionNeed(request, {service, now, isServed: false}), 0);
		}

		const need = this.#admissionNeed(request, {service, now, isServed: placement.kind !== 'unavailable'});
		const admission = admitWaiting(need, this.#options.random.next());
		if (admission.kind === 'reject') {
			return {
				kind: 'rejected', reason: admission.reason, retryAfterMs: admission.retryAfterMs, waitedMs: 0, ahead: need.ahead,
			};
		}

		return this.#enqueue(request, service, now, admission.forMs);
	}

	/** Whether a request with this need would get a place at once. */
	hasFreeSlot(service: string, need: Omit<PlacementNeed, 'usualStartMs'>): boolean {
		return this.#queueOf(service).queue.length === 0 && this.#choose({service, need: () => need}, this.#options.clock.monotonic()).kind === 'send';
	}

	/** Notes that a place became free, and gives it to a waiting request. */
	recordFreedSlot(service: string): void {
		const line = this.#queueOf(service);
		line.slotsFreedAt.push(this.#options.clock.monotonic());
		this.placeQueued(service);
	}

	/** Notes the time from a send to the first byte of the answer. */
	recordTimeToFirstData(service: string, milliseconds: number): void {
		const line = this.#queueOf(service);
		line.timeToFirstDataMs += (milliseconds - line.timeToFirstDataMs) * SERVICE_AVERAGE_WEIGHT;
	}

	/** Places waiting requests as far as there are free places. */
	placeQueued(service: string): void {
		const {queue: line} = this.#queueOf(service);
		const now = this.#options.clock.monotonic();
		for (let next = line.peek(now); next; next = line.peek(now)) {
			const placement = this.#choose(next.item.request, now);
			if (placement.kind !== 'send') {
				return;
			}

			line.takeServed(next);
			this.#settle(next.item, this.#takeSlot(placement, next.item.queuedAt, now));
		}
	}

	placeAllQueued(): void {
		for (const service of this.#queues.keys()) {
			this.placeQueued(service);
		}
	}

	/** Requests that wait now, by service. */
	get queueLengths(): ReadonlyMap<string, number> {
		return new Map([...this.#queues].map(([service, {queue: line}]) => [service, line.length]));
	}

	#queueOf(service: string): ServiceQueue {
		let line = this.#queues.get(service);
		if (!line) {
			line = new ServiceQueue();
			this.#queues.set(service, line);
		}

		return line;
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

	#admissionNeed(request: PlacementRequest, {service, now, isServed}: {readonly service: ServiceQueue; readonly now: number; readonly isServed: boolean}): WaitingNeed {
		const start = now - FREED_SLOTS_WINDOW_MS;
		while (service.slotsFreedAt.length > 0 && service.slotsFreedAt[0] < start) {
			service.slotsFreedAt.shift();
		}

		const slackMs = request.goalAt - now - service.timeToFirstDataMs;
		return {
			isServed,
			slackMs,
			remainingMs: request.deadlineAt - now - service.timeToFirstDataMs,
			ahead: service.queue.ahead(request.priority, {isLate: slackMs <= 0, now}),
			drainPerSecond: service.slotsFreedAt.length * 1000 / FREED_SLOTS_WINDOW_MS,
		};
	}

	#reject(reason: string, need: WaitingNeed, waitedMs: number): PlacementResult {
		return {
			kind: 'rejected', reason, retryAfterMs: retryAfterMs(need, this.#options.random.next()), waitedMs, ahead: need.ahead,
		};
	}

	async #enqueue(request: PlacementRequest, service: ServiceQueue, now: number, forMs: number): Promise<PlacementResult> {
		const {clock} = this.#options;
		return new Promise(resolve => {
			const item: QueuedRequest = {request, resolve, queuedAt: now};
			const waiting: Waiting<QueuedRequest> = {
				item, account: request.account, priority: request.priority, goalAt: request.goalAt - service.timeToFirstDataMs,
			};
			const cancel = (): void => {
				if (service.queue.remove(waiting)) {
					this.#settle(item, {kind: 'cancelled'});
				}
			};

			item.timer = setTimeout(() => {
				request.signal.removeEventListener('abort', cancel);
				if (service.queue.remove(waiting)) {
					const end = clock.monotonic();
					const placement = this.#choose(request, end);
					const isServed = placement.kind !== 'unavailable';
					const need = this.#admissionNeed(request, {service, now: end, isServed});
					this.#settle(item, this.#reject(isServed ? 'waited-in-vain' : placement.reason, need, end - now));
				}
			}, forMs);
			request.signal.addEventListener('abort', cancel, {once: true});
			service.queue.add(waiting);
			this.#options.metrics.count('gateway.waited', {service: request.service});
		});
	}

	#settle(item: QueuedRequest, placed: PlacementResult): void {
		clearTimeout(item.timer);
		item.resolve(placed);
	}
}
