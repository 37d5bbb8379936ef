/** Aborts a transfer that receives no bytes within a time window. */
export class ProgressWatch {
	readonly #controller = new AbortController();
	readonly #windowMs: number;
	#timer: NodeJS.Timeout | undefined;

	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** Aborts when no progress was reported within the window. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Starts a new window. Its length can be given, for example longer for the first response. */
	restart(windowMs = this.#windowMs): void {
		this.stop();
		this.#timer = setTimeout(() => {
			this.#controller.abort(new Error(`No bytes arrived within ${windowMs} ms.`));
		}, windowMs);
	}

	/** Stops the timer, for example while the receiver waits for its own rate limit. */
	stop(): void {
		clearTimeout(this.#timer);
	}
}
