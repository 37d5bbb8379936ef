import type {Clock} from '@yuccawood/common';

/** Bounds the average rate of bytes sent. A message may overdraw the budget; the next ones wait until it is positive again. */
export class ByteBudget {
	readonly #clock: Clock;
	readonly #bytesPerSecond: number;
	readonly #burstBytes: number;
	#balance: number;
	#updatedAt: number;

	constructor({clock, bytesPerSecond, burstBytes}: {readonly clock: Clock; readonly bytesPerSecond: number; readonly burstBytes: number}) {
		this.#clock = clock;
		this.#bytesPerSecond = bytesPerSecond;
		this.#burstBytes = burstBytes;
		this.#balance = burstBytes;
		this.#updatedAt = clock.monotonic();
	}

	/** Bytes that may be sent now. */
	get available(): number {
		const now = this.#clock.monotonic();
		this.#balance = Math.min(this.#burstBytes, this.#balance + ((now - this.#updatedAt) * this.#bytesPerSecond / 1000));
		this.#updatedAt = now;
		return this.#balance;
	}

	spend(bytes: number): void {
		this.#balance -= bytes;
	}
}
