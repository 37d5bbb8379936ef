import type {Clock} from '@yuccawood/common';

type Timer = {readonly at: number; readonly run: () => void};

/** Time that passes only in calls of `advance`. Each process has its own `VirtualClock` on it. */
export class VirtualTime {
	readonly #timers: Timer[] = [];
	#now = 0;

	get now(): number {
		return this.#now;
	}

	/** Runs the function after the given time. */
	schedule(milliseconds: number, run: () => void): void {
		const at = this.#now + Math.max(0, milliseconds);
		let low = 0;
		let high = this.#timers.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#timers[middle].at > at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#timers.splice(low, 0, {at, run});
	}

	/** Advances the time and runs all timers that become due, in the order of their times. */
	async advance(milliseconds: number): Promise<void> {
		const end = this.#now + milliseconds;
		await runPendingCallbacks();
		for (let next = this.#timers.at(-1); next && next.at <= end; next = this.#timers.at(-1)) {
			this.#now = next.at;
			while (this.#timers.at(-1)?.at === this.#now) {
				this.#timers.pop()?.run();
			}

			await runPendingCallbacks();
		}

		this.#now = end;
	}

	/** Advances the time in steps until the condition is true. @returns the virtual time that passed, or undefined if the limit was reached. */
	async advanceUntil(condition: () => boolean, {limitMs, stepMs = 100}: {readonly limitMs: number; readonly stepMs?: number}): Promise<number | undefined> {
		const start = this.#now;
		while (this.#now - start <= limitMs) {
			if (condition()) {
				return this.#now - start;
			}

			await this.advance(stepMs);
		}

		return undefined;
	}
}

/** Runs the callbacks of all promises that are settled now. */
const runPendingCallbacks = async (): Promise<void> => {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
};

/** Clock of one process. While it is frozen, no sleep of this process ends, but its time goes on. */
export class VirtualClock implements Clock {
	/** Offset of the wall clock from the virtual time. Tests change it to make the wall clock jump. */
	wallOffsetMs = 1_700_000_000_000;
	readonly #time: VirtualTime;
	#suspendedTimers: Array<() => void> = [];
	#isFrozen = false;

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	get isFrozen(): boolean {
		return this.#isFrozen;
	}

	readonly now = (): number => this.#time.now + this.wallOffsetMs;
	readonly monotonic = (): number => this.#time.now;

	readonly sleep = async (milliseconds: number, signal?: AbortSignal): Promise<void> => new Promise<void>(resolve => {
		if (signal?.aborted) {
			resolve();
			return;
		}

		const finish = (): void => {
			if (this.#isFrozen) {
				this.#suspendedTimers.push(finish);
				return;
			}

			signal?.removeEventListener('abort', finish);
			resolve();
		};

		this.#time.schedule(milliseconds, finish);
		signal?.addEventListener('abort', finish, {once: true});
	});

	/** Stops the process, as SIGSTOP does. */
	freeze(): void {
		this.#isFrozen = true;
	}

	/** Continues the process, as SIGCONT does, and ends the sleeps that became due in between. */
	resume(): void {
		this.#isFrozen = false;
		const timers = this.#suspendedTimers;
		this.#suspendedTimers = [];
		for (const finish of timers) {
			finish();
		}
	}
}
