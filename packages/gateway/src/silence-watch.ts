/**
Notices that an upstream has been silent for longer than its load explains, and asks whether to give up on it.

A stalled upstream may still send a byte now and then, so only complete events or enough bytes count as progress.
*/
import type {Clock} from '@yuccawood/common';
import {MIN_PROGRESS_BYTES} from './constants.js';

export type SilenceWatchOptions = {
	readonly clock: Clock;

	/** Time without progress, in milliseconds, that counts as silence now; undefined if it never does. */
	readonly limitMs: () => number | undefined;

	/** Whether the request can be answered otherwise. If not, the wait begins anew. */
	readonly canGiveUp: () => boolean;
	readonly onSilence: (silentMs: number) => void;
};

export class SilenceWatch {
	readonly #options: SilenceWatchOptions;
	#timer: NodeJS.Timeout | undefined;
	#immediate: NodeJS.Immediate | undefined;

	/** Monotonic time of the latest progress, in milliseconds. */
	#silentSince = 0;
	#bytesSinceProgress = 0;

	constructor(options: SilenceWatchOptions) {
		this.#options = options;
	}

	/** Starts the wait anew. */
	recordProgress(): void {
		this.#silentSince = this.#options.clock.monotonic();
		this.#bytesSinceProgress = 0;
		this.#schedule();
	}

	recordData(bytes: number, {isEventComplete}: {readonly isEventComplete: boolean}): void {
		this.#bytesSinceProgress += bytes;
		if (isEventComplete || this.#bytesSinceProgress >= MIN_PROGRESS_BYTES) {
			this.recordProgress();
		}
	}

	stop(): void {
		clearTimeout(this.#timer);
		clearImmediate(this.#immediate);
	}

	#schedule(): void {
		this.stop();
		const limitMs = this.#options.limitMs();
		if (limitMs === undefined) {
			return;
		}

		this.#timer = setTimeout(() => {
			this.#checkAfterPoll();
		}, Math.max(1, Math.ceil(limitMs - this.#silentMs)));
	}

	/** In a busy process, data may have arrived that was not read yet. */
	#checkAfterPoll(): void {
		this.#immediate = setImmediate(() => {
			this.#immediate = setImmediate(() => {
				this.#check();
			});
		});
	}

	#check(): void {
		const {limitMs, canGiveUp, onSilence} = this.#options;
		if (this.#silentMs < (limitMs() ?? 0)) {
			this.#schedule();
		} else if (canGiveUp()) {
			onSilence(this.#silentMs);
		} else {
			this.recordProgress();
		}
	}

	get #silentMs(): number {
		return this.#options.clock.monotonic() - this.#silentSince;
	}
}
