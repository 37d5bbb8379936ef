/** Sends verified chunks to the engine, a few at a time, while the other chunks of the version are still being fetched. */
import type {ModelEngine, PlatformError} from '@yuccawood/interfaces';
import {RolloutError} from './errors.js';
import type {VerifiedChunk} from './verified-chunk.js';

export class ChunkFeed {
	readonly #engine: ModelEngine;
	readonly #window: number;
	readonly #signal: AbortSignal;
	readonly #queue: VerifiedChunk[] = [];
	readonly #workers: Array<Promise<void>> = [];
	#activeWorkers = 0;
	#failure: PlatformError | undefined;

	constructor({engine, window, signal}: {readonly engine: ModelEngine; readonly window: number; readonly signal: AbortSignal}) {
		this.#engine = engine;
		this.#window = window;
		this.#signal = signal;
	}

	/** Queues a chunk and sends it as soon as fewer than `window` chunks are being sent. */
	push(chunk: VerifiedChunk): void {
		this.#queue.push(chunk);
		if (this.#activeWorkers < this.#window) {
			this.#activeWorkers++;
			this.#workers.push(this.#sendQueuedChunks());
		}
	}

	/** Waits until the engine has accepted all chunks. @returns a failure, after which all chunks have to be sent again. */
	async finish(): Promise<RolloutError | undefined> {
		await Promise.all(this.#workers);
		return this.#failure && new RolloutError({
			kind: 'engine', detail: `The engine did not accept a chunk: ${this.#failure.message}`, remedy: 'All chunks are sent to the engine again.', cause: this.#failure,
		});
	}

	async #sendQueuedChunks(): Promise<void> {
		for (let chunk = this.#queue.shift(); chunk && !this.#failure && !this.#signal.aborted; chunk = this.#queue.shift()) {
			const result = await this.#engine.putChunk(chunk.hash, chunk.data);
			if (result.err) {
				this.#failure = result.val;
			}
		}

		this.#activeWorkers--;
	}
}
