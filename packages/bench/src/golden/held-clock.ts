import type {Clock} from '@yuccawood/common';

type Sleeper = {readonly wakeAt: number; readonly wake: () => void};

/** Real time given to the processes after each step of held time, in milliseconds, so that messages on loopback arrive. */
const SETTLE_MS = 15;

const settle = async (): Promise<void> => {
	await new Promise<void>(resolve => {
		setTimeout(resolve, SETTLE_MS);
	});
};

/** Time that stands still until `advance` moves it. */
export class HeldClock implements Clock {
	readonly #sleepers = new Set<Sleeper>();
	readonly #startsAt: number;
	#elapsed = 0;

	constructor({startsAt = Date.UTC(2026, 0, 1)}: {readonly startsAt?: number} = {}) {
		this.#startsAt = startsAt;
	}

	readonly now = (): number => this.#startsAt + this.#elapsed;
	readonly monotonic = (): number => this.#elapsed;

	readonly sleep = async (milliseconds: number, signal?: AbortSignal): Promise<void> => {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const sleeper: Sleeper = {
				wakeAt: this.#elapsed + milliseconds,
				wake: () => {
					this.#sleepers.delete(sleeper);
					signal?.removeEventListener('abort', sleeper.wake);
					resolve();
				},
			};
			this.#sleepers.add(sleeper);
			signal?.addEventListener('abort', sleeper.wake, {once: true});
		});
	};

	/** Moves time forward in steps, waking sleepers in the order of their time. */
	async advance(milliseconds: number, stepMs = 100): Promise<void> {
		const end = this.#elapsed + milliseconds;
		while (this.#elapsed < end) {
			this.#elapsed = Math.min(end, this.#elapsed + stepMs);
			const due = [...this.#sleepers].filter(({wakeAt}) => wakeAt <= this.#elapsed).sort((a, b) => a.wakeAt - b.wakeAt);
			for (const {wake} of due) {
				wake();
			}

			await settle();
		}
	}
}
