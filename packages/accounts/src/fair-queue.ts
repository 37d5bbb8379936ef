import type {AccountState} from './account-state.js';

/** A request that waits for capacity. */
export type Waiter = {
	readonly state: AccountState;

	/** Called once, when the request may run. */
	readonly admit: () => void;

	/** Called once, when a more urgent request takes its place. */
	readonly shed: () => void;
};

/**
Requests that wait for capacity, by account.

The next one comes from the account that uses the smallest part of its weight, so a flood of one account delays only itself.
*/
export class FairQueue {
	readonly #waiting = new Map<AccountState, Waiter[]>();
	#length = 0;

	get length(): number {
		return this.#length;
	}

	add(waiter: Waiter): void {
		const queue = this.#waiting.get(waiter.state);
		if (queue) {
			queue.push(waiter);
		} else {
			this.#waiting.set(waiter.state, [waiter]);
		}

		waiter.state.waiting++;
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

	/** Takes the oldest request of the account that is furthest below its weight; equal ones by priority. */
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

	/**
	Chooses the request to shed when the queue is full.

	Accounts within their part of the capacity and the queue are spared; of the others the least urgent one loses its newest request.

	@returns undefined if that is the newcomer.
	*/
	victim({newcomer, places}: {readonly newcomer: AccountState; readonly places: number}): Waiter | undefined {
		const states = new Set([...this.#waiting.keys(), newcomer]);
		const totalWeight = [...states].reduce((sum, {weight}) => sum + weight, 0);
		let worst: {readonly state: AccountState; readonly use: number} | undefined;
		for (const state of states) {
			const wanted = state.inUse + (state === newcomer ? 1 : 0);
			const use = wanted / (places * state.weight / totalWeight);
			const isWorse = !worst || state.priority < worst.state.priority || (state.priority === worst.state.priority && use > worst.use);
			if (use > 1 && isWorse) {
				worst = {state, use};
			}
		}

		return worst && worst.state !== newcomer ? this.#waiting.get(worst.state)?.at(-1) : undefined;
	}
}

const isBefore = (a: AccountState, b: AccountState): boolean => {
	const difference = ((a.inFlight + 1) / a.weight) - ((b.inFlight + 1) / b.weight);
	return difference < 0 || (difference === 0 && a.priority > b.priority);
};
