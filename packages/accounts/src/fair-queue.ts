import type {AccountState} from './account-state.js';
import {SPARED_USE} from './constants.js';

/** A request that waits for capacity. */
export type Waiter = {
	/** Use of the account in this pool. */
	readonly state: AccountState;

	/** Use of the account in all pools. */
	readonly total: AccountState;

	/** Called once, when the request may run. */
	readonly admit: () => void;

	/** Called once, when a more urgent request takes its place. */
	readonly shed: () => void;
};

/**
Requests that wait for capacity, by account, in start-time fair order.

Each account has a virtual time that rises by the service time of its requests divided by its weight; the account with the lowest one
is next. Over time each waiting account gets its part of the capacity, even if that part is a fraction of one request, and a flood
of one account delays only itself.
*/
export class FairQueue {
	readonly #waiting = new Map<AccountState, Waiter[]>();
	#length = 0;

	/** Virtual time at which the last request started. An account that was idle continues from here and keeps no credit. */
	#virtualMs = 0;

	get length(): number {
		return this.#length;
	}

	add(waiter: Waiter): void {
		const queue = this.#waiting.get(waiter.state);
		if (queue) {
			queue.push(waiter);
		} else {
			this.#waiting.set(waiter.state, [waiter]);
			waiter.state.virtualMs = Math.max(waiter.state.virtualMs, this.#virtualMs);
		}

		waiter.state.waiting++;
		waiter.total.waiting++;
		this.#length++;
	}

	/** @returns false if the request does not wait any more. */
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
		waiter.total.waiting--;
		this.#length--;
		return true;
	}

	/** Part of the capacity that an account is entitled to next to those that wait, from 0 to 1. */
	weightShare(state: AccountState): number {
		let total = this.#waiting.has(state) ? 0 : state.weight;
		for (const {weight} of this.#waiting.keys()) {
			total += weight;
		}

		return state.weight / total;
	}

	/** Takes the oldest request of the account with the lowest virtual time; equal ones by priority. */
	next(): Waiter | undefined {
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

	/** Charges a request that starts, waiting or not, with its expected service time. @returns the charge. */
	charge(state: AccountState): number {
		state.virtualMs = Math.max(state.virtualMs, this.#virtualMs);
		this.#virtualMs = state.virtualMs;
		state.virtualMs += state.meanServiceMs / state.weight;
		return state.meanServiceMs;
	}

	/**
	Chooses the request to shed when the queue is full.

	The least urgent priority is chosen first, unless all its accounts are spared because they had less than their part of the capacity
	lately or wait within their part of the places. Of that priority the longest queue loses its newest request, so a burst of a small
	account is not shed for a flood of a large one.

	@returns undefined if that is the newcomer.
	*/
	victim({newcomer, capacity, places, now}: {
		readonly newcomer: AccountState;
		readonly capacity: number;

		/** Requests that may run or wait. */
		readonly places: number;
		readonly now: number;
	}): Waiter | undefined {
		const states = [...new Set([...this.#waiting.keys(), newcomer])];
		const totalWeight = states.reduce((sum, {weight}) => sum + weight, 0);
		const isSpared = (state: AccountState): boolean => {
			const part = state.weight / totalWeight;
			return this.#wanted(state, newcomer) <= places * part || state.meanInFlight(now) < SPARED_USE * capacity * part;
		};

		const priority = Math.min(...states.filter(state => !isSpared(state)).map(state => state.priority));
		const candidates = Number.isFinite(priority) ? states.filter(state => state.priority === priority) : states;
		const [longest] = candidates.sort((a, b) => this.#queued(b, newcomer) - this.#queued(a, newcomer));
		return longest === newcomer ? undefined : this.#waiting.get(longest)?.at(-1);
	}

	#queued(state: AccountState, newcomer: AccountState): number {
		return state.waiting + (state === newcomer ? 1 : 0);
	}

	#wanted(state: AccountState, newcomer: AccountState): number {
		return state.inFlight + this.#queued(state, newcomer);
	}
}

const isBefore = (a: AccountState, b: AccountState): boolean =>
	a.virtualMs < b.virtualMs || (a.virtualMs === b.virtualMs && a.priority > b.priority);
