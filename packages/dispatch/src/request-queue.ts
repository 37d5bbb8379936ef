/**
Order of the requests that wait for a place of one service.

Load pattern: a burst over the places. Requests that can still meet their goal go first, then the more urgent priority,
then the earlier goal. Accounts of equal standing take turns, so that one large account does not starve the small ones.
*/
export type Waiting<Item> = {
	readonly item: Item;
	readonly account: string;
	readonly priority: number;

	/** Monotonic time at which the goal is missed, in milliseconds. */
	readonly goalAt: number;
};

export class WaitingLine<Item> {
	readonly #queued = new Set<Waiting<Item>>();

	/** Requests taken from the line lately, by account; the account with fewer goes first. */
	readonly #servedByAccount = new Map<string, number>();

	get length(): number {
		return this.#queued.size;
	}

	/** Requests that would go before one with this priority that can still meet its goal, or that cannot. */
	ahead(priority: number, {isLate, now}: {readonly isLate: boolean; readonly now: number}): number {
		let count = 0;
		for (const waiting of this.#queued) {
			const isOtherLate = waiting.goalAt <= now;
			if (isOtherLate === isLate ? waiting.priority <= priority : !isOtherLate) {
				count++;
			}
		}

		return count;
	}

	add(waiting: Waiting<Item>): void {
		this.#queued.add(waiting);
	}

	remove(waiting: Waiting<Item>): boolean {
		return this.#queued.delete(waiting);
	}

	/** The request that goes next; it stays in the line until it is removed. */
	peek(now: number): Waiting<Item> | undefined {
		let best: Waiting<Item> | undefined;
		for (const waiting of this.#queued) {
			if (!best || this.#precedes(waiting, best, now)) {
				best = waiting;
			}
		}

		return best;
	}

	/** Takes a request that was given a place. */
	takeServed(waiting: Waiting<Item>): void {
		this.#queued.delete(waiting);
		if (this.#queued.size === 0) {
			this.#servedByAccount.clear();
			return;
		}

		this.#servedByAccount.set(waiting.account, (this.#servedByAccount.get(waiting.account) ?? 0) + 1);
	}

	#precedes(a: Waiting<Item>, b: Waiting<Item>, now: number): boolean {
		const isLateA = a.goalAt <= now;
		const isLateB = b.goalAt <= now;
		if (isLateA !== isLateB) {
			return isLateB;
		}

		if (a.priority !== b.priority) {
			return a.priority < b.priority;
		}

		const servedA = this.#servedByAccount.get(a.account) ?? 0;
		const servedB = this.#servedByAccount.get(b.account) ?? 0;
		return servedA === servedB ? a.goalAt < b.goalAt : servedA < servedB;
	}
}
