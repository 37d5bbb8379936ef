import type {Clock} from '@yuccawood/common';

/** Token bucket in bytes that limits the average send rate. One message may overdraw it; the caller then checks `available` before it sends more. */
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

	/** Bytes that may be sent now; 0 or less after an overdraft. */
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
