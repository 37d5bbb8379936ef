/** Hands verified chunks to the engine, a few at a time, while the rest of the version still arrives. */
import type {ModelEngine, PlatformError} from '@yuccawood/interfaces';
import {RolloutError} from './errors.js';
import type {VerifiedChunk} from './verified-chunk.js';

export class ChunkFeed {
	readonly #engine: ModelEngine;
	readonly #window: number;
	readonly #signal: AbortSignal;
	readonly #queue: VerifiedChunk[] = [];
	readonly #workers: Array<Promise<void>> = [];
	#active = 0;
	#failure: PlatformError | undefined;

	constructor({engine, window, signal}: {readonly engine: ModelEngine; readonly window: number; readonly signal: AbortSignal}) {
		this.#engine = engine;
		this.#window = window;
		this.#signal = signal;
	}

	push(chunk: VerifiedChunk): void {
		this.#queue.push(chunk);
		if (this.#active < this.#window) {
			this.#active++;
			this.#workers.push(this.#work());
		}
	}

	/** Waits until the engine has taken all chunks. @returns the first failure; all chunks have to be handed over again then. */
	async finish(): Promise<RolloutError | undefined> {
		await Promise.all(this.#workers);
		return this.#failure && new RolloutError({
			kind: 'engine', detail: `The engine did not take a chunk: ${this.#failure.message}`, remedy: 'The chunks are handed over again.', cause: this.#failure,
		});
	}

	async #work(): Promise<void> {
		for (let chunk = this.#queue.shift(); chunk && !this.#failure && !this.#signal.aborted; chunk = this.#queue.shift()) {
			const result = await this.#engine.putChunk(chunk.hash, chunk.data);
			if (result.err) {
				this.#failure = result.val;
			}
		}

		this.#active--;
	}
}
