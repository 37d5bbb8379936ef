import {
	Err, Ok, type Clock, type Result,
} from '@yuccawood/common';
import {AccountState} from './account-state.js';
import {POOL_NAME_PREFIX, MIN_QUEUE_LENGTH, QUEUE_LENGTH_FACTOR} from './constants.js';
import {FairQueue, type Waiter} from './fair-queue.js';
import {deadlineRefusal, queueFullRefusal} from './refusals.js';
import type {AdmissionRefusal, AdmissionRequest, Permit} from './types.js';

type PendingRequest = {
	/** Use of the account in this pool. */
	readonly state: AccountState;

	/** Use of the account in all pools. */
	readonly accountTotal: AccountState;
	readonly request: AdmissionRequest;
};

export type AdmissionAnswer = Result<Permit, AdmissionRefusal>;

/** Admits requests of one pool up to this entry's share of its capacity. Further requests wait in a bounded fair queue. */
export class CapacityGate {
	/** Use of the pool by all accounts at this entry. */
	readonly poolState: AccountState;
	readonly #queue = new FairQueue();

	/** Use of the pool by account name. */
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

		/** Called when a request has to wait or is refused; the caller may then ask for a larger share of the capacity. */
		readonly onWait: () => void;

		/** Called for each request that the gate refuses. */
		readonly onRefusal: (refusal: AdmissionRefusal) => void;
	}) {
		this.#clock = clock;
		this.#capacity = capacity;
		this.#queueLength = queueLength;
		this.#onWait = onWait;
		this.#onRefusal = onRefusal;
		this.poolState = new AccountState({
			name: POOL_NAME_PREFIX + pool, limits: {rate: 0, concurrent: 0}, priority: 0, weight: 1, now: clock.monotonic(),
		});
	}

	/** Number of requests that wait for capacity in this pool. */
	get waiting(): number {
		return this.#queue.length;
	}

	/**
	Admits a request at once if there is capacity, and queues it otherwise. The caller has checked the account's own limits and taken a token
	from its bucket, which a refusal returns.
	*/
	enter(accountTotal: AccountState, request: AdmissionRequest): AdmissionAnswer | Promise<AdmissionAnswer> {
		const capacity = this.#capacity();
		const state = this.#stateOf(accountTotal);
		return this.#queue.length === 0 && this.poolState.inFlight < capacity
			? Ok(this.#begin(state, accountTotal))
			: this.#enqueue({state, accountTotal, request}, capacity);
	}

	/** Admits waiting requests while there is capacity. */
	admitWaiting(): void {
		const capacity = this.#queue.length > 0 ? this.#capacity() : 0;
		while (this.#queue.length > 0 && this.poolState.inFlight < capacity) {
			this.#queue.takeNext()?.admit();
		}

		this.poolState.waiting = this.#queue.length;
	}

	/** Use of the account in this pool, with the weight and priority of the configuration in force. */
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

	/** Sheds a request if the queue is full, then waits for capacity, the deadline or the abort of the caller's signal. */
	#enqueue({state, accountTotal, request}: PendingRequest, capacity: number): AdmissionAnswer | Promise<AdmissionAnswer> {
		const waitSeconds = this.#expectedWaitSeconds(state, capacity);
		const isAborted = request.signal?.aborted === true;
		if (isAborted || waitSeconds * 1000 > request.deadlineMs) {
			return this.#refuse(accountTotal, deadlineRefusal('The fleet is full and the request would wait beyond its deadline.', waitSeconds));
		}

		const limit = this.#queueLength ?? Math.max(MIN_QUEUE_LENGTH, Math.ceil(capacity * QUEUE_LENGTH_FACTOR));
		if (this.#queue.length >= limit) {
			const victim = this.#queue.chooseVictim({
				newcomer: state, capacity, maxRequests: capacity + limit, now: this.#clock.monotonic(),
			});
			if (!victim) {
				this.#onWait();
				return this.#refuse(accountTotal, queueFullRefusal(waitSeconds));
			}

			this.#queue.remove(victim);
			victim.shed();
		}

		const answer = this.#wait({state, accountTotal, request});
		this.admitWaiting();
		this.#onWait();
		return answer;
	}

	async #wait({state, accountTotal, request: {deadlineMs, signal}}: PendingRequest): Promise<AdmissionAnswer> {
		const settled = new AbortController();
		return new Promise<AdmissionAnswer>(resolve => {
			const waiter: Waiter = {
				state,
				accountTotal,
				admit: () => {
					settled.abort();
					resolve(Ok(this.#begin(state, accountTotal)));
				},
				shed: () => {
					settled.abort();
					resolve(this.#refuse(accountTotal, queueFullRefusal(this.#expectedWaitSeconds(state, this.#capacity()))));
				},
			};
			this.#queue.add(waiter);
			const refuseAtDeadline = async (): Promise<void> => {
				await this.#clock.sleep(deadlineMs, signal ? AbortSignal.any([settled.signal, signal]) : settled.signal);
				if (this.#queue.remove(waiter)) {
					const detail = signal?.aborted ? 'The caller gave up while the request waited.' : 'The deadline passed while the request waited for capacity.';
					resolve(this.#refuse(accountTotal, deadlineRefusal(detail, this.#expectedWaitSeconds(state, this.#capacity()))));
				}
			};

			void refuseAtDeadline();
		});
	}

	#begin(state: AccountState, accountTotal: AccountState): Permit {
		const startedAt = this.#clock.monotonic();
		let isHeld = true;
		const chargedMs = this.#queue.charge(state);
		state.begin(startedAt);
		accountTotal.begin(startedAt);
		this.poolState.begin(startedAt);
		return {
			account: state.name,
			priority: state.priority,
			release: () => {
				if (!isHeld) {
					return;
				}

				isHeld = false;
				const now = this.#clock.monotonic();
				// Replaces the expected service time that was charged at the start by the actual one.
				state.virtualTimeMs += (now - startedAt - chargedMs) / state.weight;
				state.end(now, now - startedAt);
				accountTotal.end(now, now - startedAt);
				this.poolState.end(now, now - startedAt);
				this.admitWaiting();
			},
		};
	}

	/** Refuses a request that the account's limits allowed, and returns its token. */
	#refuse(accountTotal: AccountState, refusal: AdmissionRefusal): AdmissionAnswer {
		accountTotal.bucket.refund();
		this.poolState.countConcurrencyRefusal();
		this.#onRefusal(refusal);
		return Err(refusal);
	}

	/**
	Expected seconds until the account's next request is admitted, given that its requests beyond its part of the capacity run one after
	another; 0 until a request has ended.
	*/
	#expectedWaitSeconds(state: AccountState, capacity: number): number {
		if (!this.poolState.hasServiceTime || capacity < 1) {
			return 0;
		}

		const slots = Math.max(1, capacity * this.#queue.entitledFraction(state));
		const beyondSlots = Math.max(0, state.inUse + 1 - slots);
		return this.poolState.meanServiceMs * ((beyondSlots / slots) + (1 / capacity)) / 1000;
	}
}
