/** Network link whose bandwidth is shared by all connections. */
import {delay, type Clock} from '@yuccawood/common';

export class SharedLink {
	readonly #clock: Clock;
	#freeAt = 0;

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	/** Waits until the link has sent this many bytes. Calls are served in the order in which they arrive. */
	async waitFor(bytes: number, bytesPerSecond: number, signal: AbortSignal): Promise<void> {
		if (!Number.isFinite(bytesPerSecond)) {
			return;
		}

		const now = this.#clock.monotonic();
		this.#freeAt = Math.max(now, this.#freeAt) + (bytes * 1000 / bytesPerSecond);
		const waitMs = this.#freeAt - now;
		if (waitMs >= 1) {
			await delay(waitMs, signal);
		}
	}
}
