import type {AccountState} from './account-state.js';
import {PROTECTED_USE_FRACTION} from './constants.js';

/** A request that waits for capacity. */
export type Waiter = {
	/** Use of the account in this pool. */
	readonly state: AccountState;

	/** Use of the account in all pools. */
	readonly accountTotal: AccountState;

	/** Called once, when the request is admitted. */
	readonly admit: () => void;

	/** Called once, when the request is dropped from a full queue in favour of a newer one. */
	readonly shed: () => void;
};

/**
Requests that wait for capacity, by account, in the order of start-time fair queueing.

Each account has a virtual time, which advances by the service time of its requests divided by its weight. The account with the lowest
virtual time is next. So each waiting account gets its weighted part of the capacity over time, even where that part is less than one
request, and an account that floods the queue delays only its own requests.
*/
export class FairQueue {
	/** Waiting requests by account, oldest first. */
	readonly #waiting = new Map<AccountState, Waiter[]>();
	#length = 0;

	/** Virtual time at which the last request started. An account that was idle continues from here, so it gains no credit while idle. */
	#virtualTimeMs = 0;

	get length(): number {
		return this.#length;
	}

	add(waiter: Waiter): void {
		const queue = this.#waiting.get(waiter.state);
		if (queue) {
			queue.push(waiter);
		} else {
			this.#waiting.set(waiter.state, [waiter]);
			waiter.state.virtualTimeMs = Math.max(waiter.state.virtualTimeMs, this.#virtualTimeMs);
		}

		waiter.state.waiting++;
		waiter.accountTotal.waiting++;
		this.#length++;
	}

	/** @returns false if the request no longer waits. */
	remove(waiter: Waiter): boolean {
		const queue = this.#waiting.get(waiter.state) ?? [];
		const index = queue.indexOf(waiter);
		if (index === -1) {
			return false;
		}

		queue.splice(index, 1);
		if (queue.length === 0) {
			this.#waiting.delete(waiter.state);
		}

		waiter.state.waiting--;
		waiter.accountTotal.waiting--;
		this.#length--;
		return true;
	}

	/** Fraction of the capacity that an account is entitled to, from 0 to 1: its weight over that of all waiting accounts and itself. */
	entitledFraction(state: AccountState): number {
		let total = this.#waiting.has(state) ? 0 : state.weight;
		for (const {weight} of this.#waiting.keys()) {
			total += weight;
		}

		return state.weight / total;
	}

	/** Removes and returns the oldest request of the account with the lowest virtual time; among equal times the most urgent priority is first. */
	takeNext(): Waiter | undefined {
		let best: AccountState | undefined;
		for (const state of this.#waiting.keys()) {
			best = best && !isBefore(state, best) ? best : state;
		}

		const waiter = best && this.#waiting.get(best)?.[0];
		if (waiter) {
			this.remove(waiter);
		}

		return waiter;
	}

	/**
	Advances the account's virtual time by the expected service time of a request that starts, whether or not it waited.

	@returns the charged service time in milliseconds, which the caller corrects when the request ends.
	*/
	charge(state: AccountState): number {
		state.virtualTimeMs = Math.max(state.virtualTimeMs, this.#virtualTimeMs);
		this.#virtualTimeMs = state.virtualTimeMs;
		state.virtualTimeMs += state.meanServiceMs / state.weight;
		return state.meanServiceMs;
	}

	/**
	Chooses the request to shed when the queue is full.

	An account is protected if it has used less than its part of the capacity lately, or if its running and waiting requests are within its
	part of `maxRequests`. Among the accounts that are not protected, those of the least urgent priority are candidates; if all accounts are
	protected, all are candidates. The candidate with the longest queue loses its newest request, so a flood of a large account
	does not displace a burst of a small one.

	@returns undefined if the newcomer's own request is to be shed.
	*/
	chooseVictim({newcomer, capacity, maxRequests, now}: {
		/** Account whose request finds the queue full. */
		readonly newcomer: AccountState;

		/** Requests that may run at the same time. */
		readonly capacity: number;

		/** Requests that may run or wait in total. */
		readonly maxRequests: number;
		readonly now: number;
	}): Waiter | undefined {
		const states = [...new Set([...this.#waiting.keys(), newcomer])];
		const totalWeight = states.reduce((sum, {weight}) => sum + weight, 0);
		const isProtected = (state: AccountState): boolean => {
			const fraction = state.weight / totalWeight;
			return this.#inUseWith(state, newcomer) <= maxRequests * fraction || state.meanInFlight(now) < PROTECTED_USE_FRACTION * capacity * fraction;
		};

		const priority = Math.min(...states.filter(state => !isProtected(state)).map(state => state.priority));
		const candidates = Number.isFinite(priority) ? states.filter(state => state.priority === priority) : states;
		const [longest] = candidates.sort((a, b) => this.#waitingWith(b, newcomer) - this.#waitingWith(a, newcomer));
		return longest === newcomer ? undefined : this.#waiting.get(longest)?.at(-1);
	}

	/** Waiting requests of an account, including the newcomer's request that is about to wait. */
	#waitingWith(state: AccountState, newcomer: AccountState): number {
		return state.waiting + (state === newcomer ? 1 : 0);
	}

	/** Running and waiting requests of an account, including the newcomer's. */
	#inUseWith(state: AccountState, newcomer: AccountState): number {
		return state.inFlight + this.#waitingWith(state, newcomer);
	}
}

const isBefore = (a: AccountState, b: AccountState): boolean =>
	a.virtualTimeMs < b.virtualTimeMs || (a.virtualTimeMs === b.virtualTimeMs && a.priority > b.priority);
