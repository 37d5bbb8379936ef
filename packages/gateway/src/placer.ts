/** Gives requests a place at an upstream: at once, after waiting in a line, or not at all. */
import type {Clock, Metrics, Random} from '@yuccawood/common';
import {
	admitWaiting, chooseUpstream, retryAfterMs, WaitingLine, type Placement, type PlacementNeed, type Waiting, type WaitingNeed,
} from '@yuccawood/dispatch';
import {AVERAGE_WEIGHT, DEFAULT_START_MS, DRAIN_WINDOW_MS} from './constants.js';
import type {UpstreamState, UpstreamStates} from './upstream-states.js';

export type PlaceRequest = {
	readonly service: string;
	readonly need: () => Omit<PlacementNeed, 'usualStartMs'>;
	readonly account: string;
	readonly priority: number;

	/** Monotonic times in milliseconds. */
	readonly goalAt: number;
	readonly deadlineAt: number;
	readonly signal: AbortSignal;
};

export type Placed =
	{readonly kind: 'placed'; readonly state: UpstreamState; readonly load: number; readonly waitedMs: number}
	| {readonly kind: 'rejected'; readonly reason: string; readonly retryAfterMs: number; readonly waitedMs: number; readonly ahead: number}
	| {readonly kind: 'cancelled'};

type Resolve = (placed: Placed) => void;
type Item = {readonly request: PlaceRequest; readonly resolve: Resolve; readonly since: number; timer?: NodeJS.Timeout};

class ServiceLine {
	readonly line = new WaitingLine<Item>();
	readonly freed: number[] = [];
	startMs = DEFAULT_START_MS;
}

export type PlacerOptions = {
	readonly states: UpstreamStates;
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: Metrics;
};

export class Placer {
	readonly #options: PlacerOptions;
	readonly #lines = new Map<string, ServiceLine>();

	constructor(options: PlacerOptions) {
		this.#options = options;
	}

	async place(request: PlaceRequest): Promise<Placed> {
		const now = this.#options.clock.monotonic();
		const service = this.#serviceOf(request.service);
		// Places may have become free without a sign; those that wait go first.
		if (service.line.length > 0) {
			this.wake(request.service);
		}

		const isLineEmpty = service.line.length === 0;
		const placement = this.#choose(request, now);
		if (placement.kind === 'send' && isLineEmpty) {
			return this.#occupy(placement, now, now);
		}

		if (placement.kind === 'unavailable' && !placement.isLoading) {
			return this.#reject(placement.reason, this.#waitingNeed(request, {service, now, isServed: false}), 0);
		}

		const need = this.#waitingNeed(request, {service, now, isServed: placement.kind !== 'unavailable'});
		const admission = admitWaiting(need, this.#options.random.next());
		if (admission.kind === 'reject') {
			return {
				kind: 'rejected', reason: admission.reason, retryAfterMs: admission.retryAfterMs, waitedMs: 0, ahead: need.ahead,
			};
		}

		return this.#wait(request, service, now, admission.forMs);
	}

	/** Whether a request with this need would get a place at once. */
	hasPlace(service: string, need: Omit<PlacementNeed, 'usualStartMs'>): boolean {
		return this.#serviceOf(service).line.length === 0 && this.#choose({service, need: () => need}, this.#options.clock.monotonic()).kind === 'send';
	}

	/** Notes that a place became free, and gives it to a waiting request. */
	noteFreed(service: string): void {
		const line = this.#serviceOf(service);
		line.freed.push(this.#options.clock.monotonic());
		this.wake(service);
	}

	/** Notes the time from a send to the first byte of the answer. */
	noteStarted(service: string, milliseconds: number): void {
		const line = this.#serviceOf(service);
		line.startMs += (milliseconds - line.startMs) * AVERAGE_WEIGHT;
	}

	/** Places waiting requests as far as there are free places. */
	wake(service: string): void {
		const {line} = this.#serviceOf(service);
		const now = this.#options.clock.monotonic();
		for (let next = line.peek(now); next; next = line.peek(now)) {
			const placement = this.#choose(next.item.request, now);
			if (placement.kind !== 'send') {
				return;
			}

			line.takeServed(next);
			this.#settle(next.item, this.#occupy(placement, next.item.since, now));
		}
	}

	wakeAll(): void {
		for (const service of this.#lines.keys()) {
			this.wake(service);
		}
	}

	/** Requests that wait now, by service. */
	get lengths(): ReadonlyMap<string, number> {
		return new Map([...this.#lines].map(([service, {line}]) => [service, line.length]));
	}

	#serviceOf(service: string): ServiceLine {
		let line = this.#lines.get(service);
		if (!line) {
			line = new ServiceLine();
			this.#lines.set(service, line);
		}

		return line;
	}

	#choose(request: Pick<PlaceRequest, 'service' | 'need'>, now: number): Placement {
		const {states, random} = this.#options;
		const need = {...request.need(), usualStartMs: this.#serviceOf(request.service).startMs};
		return chooseUpstream(states.viewsOf(request.service, now), need, random.next());
	}

	#occupy({key, load}: Placement & {readonly kind: 'send'}, since: number, now: number): Placed {
		const state = this.#options.states.find(key)!;
		state.begin(now);
		return {
			kind: 'placed', state, load, waitedMs: now - since,
		};
	}

	#waitingNeed(request: PlaceRequest, {service, now, isServed}: {readonly service: ServiceLine; readonly now: number; readonly isServed: boolean}): WaitingNeed {
		const start = now - DRAIN_WINDOW_MS;
		while (service.freed.length > 0 && service.freed[0] < start) {
			service.freed.shift();
		}

		const slackMs = request.goalAt - now - service.startMs;
		return {
			isServed,
			slackMs,
			remainingMs: request.deadlineAt - now - service.startMs,
			ahead: service.line.ahead(request.priority, {isLate: slackMs <= 0, now}),
			drainPerSecond: service.freed.length * 1000 / DRAIN_WINDOW_MS,
		};
	}

	#reject(reason: string, need: WaitingNeed, waitedMs: number): Placed {
		return {
			kind: 'rejected', reason, retryAfterMs: retryAfterMs(need, this.#options.random.next()), waitedMs, ahead: need.ahead,
		};
	}

	async #wait(request: PlaceRequest, service: ServiceLine, now: number, forMs: number): Promise<Placed> {
		const {clock} = this.#options;
		return new Promise(resolve => {
			const item: Item = {request, resolve, since: now};
			const waiting: Waiting<Item> = {
				item, account: request.account, priority: request.priority, goalAt: request.goalAt - service.startMs,
			};
			const cancel = (): void => {
				if (service.line.remove(waiting)) {
					this.#settle(item, {kind: 'cancelled'});
				}
			};

			item.timer = setTimeout(() => {
				request.signal.removeEventListener('abort', cancel);
				if (service.line.remove(waiting)) {
					const end = clock.monotonic();
					const placement = this.#choose(request, end);
					const isServed = placement.kind !== 'unavailable';
					const need = this.#waitingNeed(request, {service, now: end, isServed});
					this.#settle(item, this.#reject(isServed ? 'waited-in-vain' : placement.reason, need, end - now));
				}
			}, forMs);
			request.signal.addEventListener('abort', cancel, {once: true});
			service.line.add(waiting);
			this.#options.metrics.count('gateway.waited', {service: request.service});
		});
	}

	#settle(item: Item, placed: Placed): void {
		clearTimeout(item.timer);
		item.resolve(placed);
	}
}
