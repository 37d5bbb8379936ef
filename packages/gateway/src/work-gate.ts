/**
Gate for work that can't be taken back: reading a request and sending it to an upstream.

Between two polls of the sockets, only a bounded amount of work is done, so that each piece of work starts from a recent look
at the callers' connections. Work whose caller has left meanwhile is dropped. Sends go first, because the reads before them
have been paid for. While the process is behind, newer work goes before older work: the callers of the older are about to
leave, and serving them first would make the newer late, too.
*/
import type {Clock} from '@yuccawood/common';

/** Work that passes the gate. Reads that are not reached in time are refused; sends are ended by their time limits. */
export type GateStage = 'read' | 'send';

/** `dropped`: the signal aborted before. `overdue`: newer work went first for too long. */
export type GateResult<T> = {readonly kind: 'done'; readonly value: T} | {readonly kind: 'dropped'} | {readonly kind: 'overdue'};

export type GateWork = {
	readonly stage: GateStage;

	/** Aborts when the work is not wanted any more. */
	readonly signal: AbortSignal;

	/** Monotonic time in milliseconds at which its request arrived. */
	readonly arrivedAt: number;
};

type GateItem = {
	/** Monotonic times in milliseconds. */
	readonly arrivedAt: number;
	readonly queuedAt: number;

	/** Turn of the event loop in which the item was queued. */
	readonly turn: number;
	readonly act: () => void;
	readonly refuse: () => void;
	isOver: boolean;
};

export type WorkGateOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;

	/** Time for work between two polls, in milliseconds. The last piece of work may exceed it. */
	readonly budgetMs?: number;

	/**
	Pieces of work between two polls. What follows them in the same turn or the next one, such as the placement of a request
	that was read or the write of a send, is not in the budget.
	*/
	readonly maxItems?: number;

	/** Waiting time from which the process counts as behind, in milliseconds. */
	readonly behindAfterMs?: number;

	/** Waiting time after which a read is refused, in milliseconds. */
	readonly overdueAfterMs?: number;

	/** Whether another poll is worth more than work now, because it brings more requests to choose from. */
	readonly isHeld?: () => boolean;

	/** Longest time without work for that reason, in milliseconds. */
	readonly maxHoldMs?: number;

	/** Called in each turn in which work waits. */
	readonly onTurn?: () => void;

	/** Runs the function after the next poll. */
	readonly afterPoll?: (call: () => void) => void;
};

/** The end of a connection is read one poll after the data before it. */
const MIN_TURNS = 2;

export class WorkGate {
	readonly #options: Required<WorkGateOptions>;
	readonly #stages: Readonly<Record<GateStage, GateItem[]>> = {read: [], send: []};
	#turn = 0;
	#isScheduled = false;

	/** Monotonic time of the first poll since the last work, in milliseconds. */
	#idleSince: number | undefined;

	constructor({
		clock, budgetMs = 5, maxItems = 4, behindAfterMs = 30, overdueAfterMs = 1000, isHeld = () => false, maxHoldMs = 20, onTurn = () => undefined, afterPoll = setImmediate,
	}: WorkGateOptions) {
		this.#options = {
			clock, budgetMs, maxItems, behindAfterMs, overdueAfterMs, isHeld, maxHoldMs, onTurn, afterPoll,
		};
	}

	/** Number of pieces of work that wait. */
	get waiting(): number {
		return [...this.#stages.read, ...this.#stages.send].filter(({isOver}) => !isOver).length;
	}

	/**
	Does the work after a look at the sockets, unless the signal aborts before.

	@param act the part of the work that is done synchronously counts towards the budget
	*/
	async pass<T>({stage, signal, arrivedAt}: GateWork, act: () => T): Promise<GateResult<T>> {
		if (signal.aborted) {
			return {kind: 'dropped'};
		}

		return new Promise(resolve => {
			const settle = (result: () => GateResult<T>): void => {
				item.isOver = true;
				signal.removeEventListener('abort', drop);
				// An error of the work rejects the promise and does not reach the gate.
				resolve((async () => result())());
			};

			const drop = (): void => {
				settle(() => ({kind: 'dropped'}));
			};

			const item: GateItem = {
				arrivedAt,
				queuedAt: this.#options.clock.monotonic(),
				turn: this.#turn,
				act() {
					settle(() => ({kind: 'done', value: act()}));
				},
				refuse() {
					settle(() => ({kind: 'overdue'}));
				},
				isOver: false,
			};
			signal.addEventListener('abort', drop, {once: true});
			this.#stages[stage].push(item);
			this.#schedule();
		});
	}

	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		this.#options.afterPoll(() => {
			this.#isScheduled = false;
			this.#work();
		});
	}

	#work(): void {
		const {
			clock, budgetMs, maxItems, isHeld, maxHoldMs, onTurn,
		} = this.#options;
		this.#turn++;
		onTurn();
		const now = clock.monotonic();
		this.#idleSince ??= now;
		if (isHeld() && now - this.#idleSince < maxHoldMs) {
			this.#schedule();
			return;
		}

		this.#idleSince = undefined;
		for (let items = 0; items < maxItems && clock.monotonic() < now + budgetMs; items++) {
			this.#refuseOverdue();
			const item = this.#next();
			if (!item) {
				break;
			}

			item.act();
		}

		if (this.#stages.read.length > 0 || this.#stages.send.length > 0) {
			this.#schedule();
		}
	}

	/** Refuses one read at a time, so that refusals don't use up the budget. */
	#refuseOverdue(): void {
		const {clock, overdueAfterMs} = this.#options;
		const oldest = this.#oldest('read');
		if (oldest && clock.monotonic() - oldest.queuedAt > overdueAfterMs) {
			this.#stages.read.shift();
			oldest.refuse();
		}
	}

	/** A read goes ahead of no send, even if the send needs another poll: what was read may not wait while more is read. */
	#next(): GateItem | undefined {
		return this.#oldest('send') ? this.#take('send') : this.#take('read');
	}

	#take(stage: GateStage): GateItem | undefined {
		const {clock, behindAfterMs} = this.#options;
		const items = this.#stages[stage];
		const oldest = this.#oldest(stage);
		if (!oldest || !this.#isReady(oldest)) {
			return undefined;
		}

		if (clock.monotonic() - oldest.queuedAt <= behindAfterMs) {
			return items.shift();
		}

		let newest = 0;
		for (const [index, item] of items.entries()) {
			if (!item.isOver && this.#isReady(item) && item.arrivedAt >= items[newest].arrivedAt) {
				newest = index;
			}
		}

		return items.splice(newest, 1)[0];
	}

	/** Removes what is over from the front. */
	#oldest(stage: GateStage): GateItem | undefined {
		const items = this.#stages[stage];
		while (items.length > 0 && items[0].isOver) {
			items.shift();
		}

		return items[0];
	}

	#isReady({turn}: GateItem): boolean {
		return this.#turn - turn >= MIN_TURNS;
	}
}
