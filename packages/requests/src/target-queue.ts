/** Bounded queue of the calls that wait because all agents of a model or service are full. Accounts share it by weight. */
import {QUEUE_LIMIT_PER_CAPACITY, MIN_QUEUE_LIMIT} from './constants.js';

/** What the queue needs to know of a call. */
export type WaitingCall = {
	readonly account: string;

	/** An account with twice the weight has twice as many calls admitted. */
	readonly weight: number;

	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;
	readonly isDisconnected: () => boolean;
};

/** Whether a call is admitted or why not: the queue was full, or the deadline passed or the caller disconnected. */
export type QueueResult = 'admitted' | 'full' | 'expired';

type Waiter = {readonly call: WaitingCall; readonly finish: (result: QueueResult) => void};

/** Weighted fair queue over accounts, first in first out within an account. */
export class TargetQueue {
	/** Waiting calls by account, each in order of arrival. */
	readonly #waitersByAccount = new Map<string, Waiter[]>();

	/** Admitted calls of each account divided by its weight. The account with the lowest value is next. */
	readonly #weightedAdmissions = new Map<string, number>();
	readonly #isFull: () => boolean;
	readonly #capacity: () => number;
	#length = 0;

	constructor({isFull, capacity}: {
		/** Whether no agent has free capacity. */
		readonly isFull: () => boolean;

		/** Number of calls that all agents together can run at the same time. */
		readonly capacity: () => number;
	}) {
		this.#isFull = isFull;
		this.#capacity = capacity;
	}

	/** Number of waiting calls. */
	get length(): number {
		return this.#length;
	}

	/** Resolves when an agent has free capacity and this call is next, or with the reason why it cannot be admitted. */
	async enter(call: WaitingCall): Promise<QueueResult> {
		if (call.isDisconnected()) {
			return 'expired';
		}

		if (this.#length === 0 && !this.#isFull()) {
			return 'admitted';
		}

		if (this.#length >= Math.max(MIN_QUEUE_LIMIT, this.#capacity() * QUEUE_LIMIT_PER_CAPACITY) && !this.#evictNewest(call.account)) {
			return 'full';
		}

		return new Promise(resolve => {
			this.#add({call, finish: resolve});
		});
	}

	/** Admits at most one call, if an agent has free capacity: its start changes the load, after which this is called again. */
	admitNext(): void {
		while (this.#length > 0 && !this.#isFull()) {
			const next = this.#takeNext();
			if (!next.call.isDisconnected()) {
				next.finish('admitted');
				return;
			}

			next.finish('expired');
		}
	}

	/** Ends the wait of calls whose deadline has passed. */
	expire(now: number): void {
		for (const [account, waiters] of this.#waitersByAccount) {
			const [remaining, expired] = [waiters.filter(({call}) => call.deadlineAt > now), waiters.filter(({call}) => call.deadlineAt <= now)];
			this.#setWaiters(account, remaining);
			for (const {finish} of expired) {
				finish('expired');
			}
		}
	}

	#add(waiter: Waiter): void {
		const {account} = waiter.call;
		const waiters = this.#waitersByAccount.get(account);
		if (waiters) {
			waiters.push(waiter);
		} else {
			// An account with no waiting calls starts at the lowest value of the others, so that an idle time does not give it an advantage.
			const lowest = Math.min(...[...this.#waitersByAccount.keys()].map(other => this.#weightedAdmissions.get(other) ?? 0));
			this.#weightedAdmissions.set(account, Math.max(this.#weightedAdmissions.get(account) ?? 0, Number.isFinite(lowest) ? lowest : 0));
			this.#waitersByAccount.set(account, [waiter]);
		}

		this.#length++;
	}

	/** Removes and counts the first call of the account with the lowest value. */
	#takeNext(): Waiter {
		let next = '';
		let lowest = Number.POSITIVE_INFINITY;
		for (const account of this.#waitersByAccount.keys()) {
			const served = this.#weightedAdmissions.get(account) ?? 0;
			if (served < lowest) {
				next = account;
				lowest = served;
			}
		}

		const [first, ...rest] = this.#waitersByAccount.get(next)!;
		this.#setWaiters(next, rest);
		this.#weightedAdmissions.set(next, lowest + (1 / first.call.weight));
		return first;
	}

	/** Rejects the newest call of the account with the most waiting calls, to make room for a call of another. @returns false when that account is the new call's own. */
	#evictNewest(newAccount: string): boolean {
		let longestAccount = newAccount;
		for (const [account, waiters] of this.#waitersByAccount) {
			if (waiters.length > (this.#waitersByAccount.get(longestAccount)?.length ?? 0)) {
				longestAccount = account;
			}
		}

		const waiters = this.#waitersByAccount.get(longestAccount);
		if (longestAccount === newAccount || !waiters) {
			return false;
		}

		this.#setWaiters(longestAccount, waiters.slice(0, -1));
		waiters.at(-1)!.finish('full');
		return true;
	}

	/** Sets the waiting calls of an account. When no call of any account waits, all accounts start again at 0 admissions. */
	#setWaiters(account: string, waiters: Waiter[]): void {
		this.#length += waiters.length - (this.#waitersByAccount.get(account)?.length ?? 0);
		if (waiters.length > 0) {
			this.#waitersByAccount.set(account, waiters);
			return;
		}

		this.#waitersByAccount.delete(account);
		if (this.#waitersByAccount.size === 0) {
			this.#weightedAdmissions.clear();
		}
	}
}
