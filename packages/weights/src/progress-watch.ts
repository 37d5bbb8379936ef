/** Aborts a transfer that receives no bytes within a window. */
export class ProgressWatch {
	readonly #controller = new AbortController();
	readonly #windowMs: number;
	#timer: NodeJS.Timeout | undefined;

	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** Aborts when the transfer has stalled. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Starts a new window, which may be longer than usual for the first answer. */
	restart(windowMs = this.#windowMs): void {
		this.stop();
		this.#timer = setTimeout(() => {
			this.#controller.abort(new Error(`No bytes arrived within ${windowMs} ms.`));
		}, windowMs);
	}

	/** Pauses the watch, for example while the reader waits for its own rate limit. */
	stop(): void {
		clearTimeout(this.#timer);
	}
}
