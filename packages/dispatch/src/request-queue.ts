/**
Queue of the requests that wait for a slot of one service during a burst.

Requests that can still meet their latency goal go first, then those with the more urgent priority. Among these, the client
account with fewer requests served from the queue goes first, so that a large account does not starve small ones; then the
earlier deadline.
*/
export type QueuedRequest<Item> = {
	readonly item: Item;
	readonly account: string;

	/** 0 is the most urgent. */
	readonly priority: number;

	/** Monotonic time in milliseconds from which the latency goal is missed. */
	readonly goalAt: number;
};

export class RequestQueue<Item> {
	readonly #queued = new Set<QueuedRequest<Item>>();

	/** Requests served from the queue since it was last empty, by client account. */
	readonly #servedByAccount = new Map<string, number>();

	get length(): number {
		return this.#queued.size;
	}

	/** Counts the requests that would go before a new one with this priority. `isLate` says whether it has missed its latency goal. */
	countAhead(priority: number, {isLate, now}: {readonly isLate: boolean; readonly now: number}): number {
		let count = 0;
		for (const request of this.#queued) {
			const isOtherLate = request.goalAt <= now;
			if (isOtherLate === isLate ? request.priority <= priority : !isOtherLate) {
				count++;
			}
		}

		return count;
	}

	add(request: QueuedRequest<Item>): void {
		this.#queued.add(request);
	}

	remove(request: QueuedRequest<Item>): boolean {
		return this.#queued.delete(request);
	}

	/** Returns the next request without removing it. @param passedOver requests that can't be served now */
	peek(now: number, passedOver: ReadonlySet<QueuedRequest<Item>> = new Set()): QueuedRequest<Item> | undefined {
		let best: QueuedRequest<Item> | undefined;
		for (const request of this.#queued) {
			if (passedOver.has(request)) {
				continue;
			}

			if (!best || this.#precedes(request, best, now)) {
				best = request;
			}
		}

		return best;
	}

	/** Removes a request that got a slot, and counts it for its client account. */
	removeServed(request: QueuedRequest<Item>): void {
		this.#queued.delete(request);
		if (this.#queued.size === 0) {
			this.#servedByAccount.clear();
			return;
		}

		this.#servedByAccount.set(request.account, (this.#servedByAccount.get(request.account) ?? 0) + 1);
	}

	#precedes(a: QueuedRequest<Item>, b: QueuedRequest<Item>, now: number): boolean {
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
