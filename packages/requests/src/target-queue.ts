/** Bounded fair queue in front of the agents of one model or service, for calls that find all of them full. */
import {MAX_WAITING_FACTOR, MIN_WAITING} from './constants.js';

export type Ticket = {
	readonly account: string;

	/** An account with twice the weight gets twice the places. */
	readonly weight: number;

	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	readonly isGone: () => boolean;
};

/** Whether a call may go on, or why not. */
export type QueueAnswer = 'admitted' | 'full' | 'expired';

type Waiter = {readonly ticket: Ticket; readonly answer: (answer: QueueAnswer) => void};

export class TargetQueue {
	/** Waiting calls by account, each in order of arrival. */
	readonly #accounts = new Map<string, Waiter[]>();

	/** Places given to an account divided by its weight; the account with the lowest value is next. */
	readonly #served = new Map<string, number>();
	readonly #isFull: () => boolean;
	readonly #capacity: () => number;
	#length = 0;

	constructor({isFull, capacity}: {
		/** Whether no agent has room for another call. */
		readonly isFull: () => boolean;

		/** Calls that all agents run at the same time. */
		readonly capacity: () => number;
	}) {
		this.#isFull = isFull;
		this.#capacity = capacity;
	}

	get length(): number {
		return this.#length;
	}

	/** Waits until an agent has room and it is this account's turn. */
	async enter(ticket: Ticket): Promise<QueueAnswer> {
		if (this.#length === 0 && !this.#isFull()) {
			return 'admitted';
		}

		if (this.#length >= Math.max(MIN_WAITING, this.#capacity() * MAX_WAITING_FACTOR) && !this.#shed(ticket.account)) {
			return 'full';
		}

		return new Promise(resolve => {
			this.#add({ticket, answer: resolve});
		});
	}

	/** Admits the next call if an agent has room. Called when a call has started or ended, because each start changes the room. */
	pump(): void {
		while (this.#length > 0 && !this.#isFull()) {
			const next = this.#takeNext();
			if (!next.ticket.isGone()) {
				next.answer('admitted');
				return;
			}

			next.answer('expired');
		}
	}

	/** Ends the wait of calls whose deadline has passed. */
	expire(now: number): void {
		for (const [account, waiters] of this.#accounts) {
			const [kept, ended] = [waiters.filter(({ticket}) => ticket.deadlineAt > now), waiters.filter(({ticket}) => ticket.deadlineAt <= now)];
			this.#replace(account, kept);
			for (const {answer} of ended) {
				answer('expired');
			}
		}
	}

	#add(waiter: Waiter): void {
		const {account} = waiter.ticket;
		const waiters = this.#accounts.get(account);
		if (waiters) {
			waiters.push(waiter);
		} else {
			// An account that had nothing waiting starts level with the others, so that it cannot save up places.
			const lowest = Math.min(...[...this.#accounts.keys()].map(other => this.#served.get(other) ?? 0));
			this.#served.set(account, Math.max(this.#served.get(account) ?? 0, Number.isFinite(lowest) ? lowest : 0));
			this.#accounts.set(account, [waiter]);
		}

		this.#length++;
	}

	#takeNext(): Waiter {
		let next = '';
		let lowest = Number.POSITIVE_INFINITY;
		for (const account of this.#accounts.keys()) {
			const served = this.#served.get(account) ?? 0;
			if (served < lowest) {
				next = account;
				lowest = served;
			}
		}

		const [first, ...rest] = this.#accounts.get(next)!;
		this.#replace(next, rest);
		this.#served.set(next, lowest + (1 / first.ticket.weight));
		return first;
	}

	/** Rejects the newest call of the account with the most waiting calls. @returns false when that is the newcomer's account. */
	#shed(newcomer: string): boolean {
		let longest = newcomer;
		for (const [account, waiters] of this.#accounts) {
			if (waiters.length > (this.#accounts.get(longest)?.length ?? 0)) {
				longest = account;
			}
		}

		const waiters = this.#accounts.get(longest);
		if (longest === newcomer || !waiters) {
			return false;
		}

		this.#replace(longest, waiters.slice(0, -1));
		waiters.at(-1)!.answer('full');
		return true;
	}

	#replace(account: string, waiters: Waiter[]): void {
		this.#length += waiters.length - (this.#accounts.get(account)?.length ?? 0);
		if (waiters.length > 0) {
			this.#accounts.set(account, waiters);
			return;
		}

		this.#accounts.delete(account);
		if (this.#accounts.size === 0) {
			this.#served.clear();
		}
	}
}
