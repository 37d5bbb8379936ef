import {
	Err, Ok, type Clock, type Result,
} from '@yuccawood/common';
import {AccountState} from './account-state.js';
import {FLEET, MIN_QUEUE_LENGTH, QUEUE_FACTOR} from './constants.js';
import {FairQueue, type Waiter} from './fair-queue.js';
import {deadlineRefusal, queueFullRefusal} from './refusals.js';
import type {AdmissionRefusal, AdmissionRequest, Permit} from './types.js';

type Entrant = {
	readonly state: AccountState;
	readonly total: AccountState;
	readonly request: AdmissionRequest;
};

export type AdmissionAnswer = Result<Permit, AdmissionRefusal>;

/** Lets requests of one pool run as far as this entry's share of its capacity goes; the others wait in a bounded fair queue. */
export class CapacityGate {
	/** Use of the pool by all accounts of this entry. */
	readonly fleet: AccountState;
	readonly #queue = new FairQueue();

	/** Use of the pool by each account. */
	readonly #states = new Map<string, AccountState>();
	readonly #clock: Clock;
	readonly #capacity: () => number;
	readonly #queueLength: number | undefined;
	readonly #onWait: () => void;
	readonly #onRefusal: (refusal: AdmissionRefusal) => void;

	constructor({clock, pool, capacity, queueLength, onWait, onRefusal}: {
		readonly clock: Clock;
		readonly pool: string;

		/** Requests that this entry may run at the same time. */
		readonly capacity: () => number;
		readonly queueLength?: number;

		/** Called when a request finds no room; a larger share of the capacity may be had. */
		readonly onWait: () => void;
		readonly onRefusal: (refusal: AdmissionRefusal) => void;
	}) {
		this.#clock = clock;
		this.#capacity = capacity;
		this.#queueLength = queueLength;
		this.#onWait = onWait;
		this.#onRefusal = onRefusal;
		this.fleet = new AccountState({
			name: FLEET + pool, limits: {rate: 0, concurrent: 0}, priority: 0, weight: 1, now: clock.monotonic(),
		});
	}

	get waiting(): number {
		return this.#queue.length;
	}

	/** Runs a request at once if there is room. The account's own limits have been checked and a token taken. */
	enter(total: AccountState, request: AdmissionRequest): AdmissionAnswer | Promise<AdmissionAnswer> {
		const capacity = this.#capacity();
		const state = this.#stateOf(total);
		return this.#queue.length === 0 && this.fleet.inFlight < capacity
			? Ok(this.#begin(state, total))
			: this.#enqueue({state, total, request}, capacity);
	}

	/** Lets waiting requests run as far as there is capacity. */
	pump(): void {
		const capacity = this.#queue.length > 0 ? this.#capacity() : 0;
		while (this.#queue.length > 0 && this.fleet.inFlight < capacity) {
			this.#queue.next()?.admit();
		}

		this.fleet.waiting = this.#queue.length;
	}

	#stateOf({name, limits, priority, weight}: AccountState): AccountState {
		const known = this.#states.get(name);
		if (known) {
			known.priority = priority;
			known.weight = weight;
			return known;
		}

		const state = new AccountState({
			name, limits, priority, weight, now: this.#clock.monotonic(),
		});
		this.#states.set(name, state);
		return state;
	}

	/** Makes room in the queue if it is full, then waits for capacity, the deadline or the caller's end. */
	#enqueue({state, total, request}: Entrant, capacity: number): AdmissionAnswer | Promise<AdmissionAnswer> {
		const waitSeconds = this.#expectedWaitSeconds(state, capacity);
		const isAborted = request.signal?.aborted === true;
		if (isAborted || waitSeconds * 1000 > request.deadlineMs) {
			return this.#refuse(total, deadlineRefusal('The fleet is full and the request would wait beyond its deadline.', waitSeconds));
		}

		const limit = this.#queueLength ?? Math.max(MIN_QUEUE_LENGTH, Math.ceil(capacity * QUEUE_FACTOR));
		if (this.#queue.length >= limit) {
			const victim = this.#queue.victim({
				newcomer: state, capacity, places: capacity + limit, now: this.#clock.monotonic(),
			});
			if (!victim) {
				this.#onWait();
				return this.#refuse(total, queueFullRefusal(waitSeconds));
			}

			this.#queue.remove(victim);
			victim.shed();
		}

		const answer = this.#wait({state, total, request});
		this.pump();
		this.#onWait();
		return answer;
	}

	async #wait({state, total, request: {deadlineMs, signal}}: Entrant): Promise<AdmissionAnswer> {
		const ended = new AbortController();
		return new Promise<AdmissionAnswer>(resolve => {
			const waiter: Waiter = {
				state,
				total,
				admit: () => {
					ended.abort();
					resolve(Ok(this.#begin(state, total)));
				},
				shed: () => {
					ended.abort();
					resolve(this.#refuse(total, queueFullRefusal(this.#expectedWaitSeconds(state, this.#capacity()))));
				},
			};
			this.#queue.add(waiter);
			const expire = async (): Promise<void> => {
				await this.#clock.sleep(deadlineMs, signal ? AbortSignal.any([ended.signal, signal]) : ended.signal);
				if (this.#queue.remove(waiter)) {
					const detail = signal?.aborted ? 'The caller gave up while the request waited.' : 'The deadline passed while the request waited for capacity.';
					resolve(this.#refuse(total, deadlineRefusal(detail, this.#expectedWaitSeconds(state, this.#capacity()))));
				}
			};

			void expire();
		});
	}

	#begin(state: AccountState, total: AccountState): Permit {
		const startedAt = this.#clock.monotonic();
		let isHeld = true;
		const chargedMs = this.#queue.charge(state);
		state.begin(startedAt);
		total.begin(startedAt);
		this.fleet.begin(startedAt);
		return {
			account: state.name,
			priority: state.priority,
			release: () => {
				if (!isHeld) {
					return;
				}

				isHeld = false;
				const now = this.#clock.monotonic();
				state.virtualMs += (now - startedAt - chargedMs) / state.weight;
				state.end(now, now - startedAt);
				total.end(now, now - startedAt);
				this.fleet.end(now, now - startedAt);
				this.pump();
			},
		};
	}

	#refuse(total: AccountState, refusal: AdmissionRefusal): AdmissionAnswer {
		total.bucket.refund();
		this.fleet.refuseConcurrency();
		this.#onRefusal(refusal);
		return Err(refusal);
	}

	/** Time until the account's next request may run if its requests beyond its part of the capacity wait in turn; 0 before any request has ended. */
	#expectedWaitSeconds(state: AccountState, capacity: number): number {
		if (!this.fleet.hasEnded || capacity < 1) {
			return 0;
		}

		const slots = Math.max(1, capacity * this.#queue.weightShare(state));
		const ahead = Math.max(0, state.inUse + 1 - slots);
		return this.fleet.meanServiceMs * ((ahead / slots) + (1 / capacity)) / 1000;
	}
}
