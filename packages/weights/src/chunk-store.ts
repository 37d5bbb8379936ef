/** Holds chunks in memory. Versions share equal chunks, and a chunk is kept as long as a retained manifest lists it. */
import {Err, Ok, type Result} from '@yuccawood/common';
import {DEFAULT_STORE_BYTES} from './constants.js';
import {ChunkError} from './errors.js';
import {chunkSize, type Manifest} from './manifest.js';
import type {VerifiedChunk} from './verified-chunk.js';

/** A chunk that retained manifests list; `references` counts them, and `chunk` is absent until it has arrived. */
type Entry = {references: number; readonly sizeBytes: number; chunk?: VerifiedChunk};
/** Settles one call of `waitFor`. */
type Waiter = (chunk: VerifiedChunk | undefined) => void;

export class ChunkStore {
	readonly #limitBytes: number;
	readonly #entries = new Map<string, Entry>();
	readonly #manifests = new Map<string, Manifest>();
	readonly #waiters = new Map<string, Set<Waiter>>();
	#reservedBytes = 0;

	constructor({limitBytes = DEFAULT_STORE_BYTES}: {readonly limitBytes?: number} = {}) {
		this.#limitBytes = limitBytes;
	}

	/** Total size of the distinct chunks of all retained manifests, whether they have arrived or not. */
	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	/** Hashes of the retained manifests. */
	get retained(): readonly string[] {
		return [...this.#manifests.keys()];
	}

	/** Hashes of the retained manifests whose chunks have all arrived. */
	get complete(): readonly string[] {
		return [...this.#manifests].filter(([, {chunks}]) => chunks.every(hash => this.has(hash))).map(([hash]) => hash);
	}

	/** Reserves space for the chunks of a manifest. Retaining it again has no effect. @returns `store-full` if they do not fit. */
	retain(manifestHash: string, manifest: Manifest): Result<void, ChunkError> {
		if (this.#manifests.has(manifestHash)) {
			return Ok.EMPTY;
		}

		const sizes = new Map(manifest.chunks.map((hash, index) => [hash, chunkSize(manifest, index)]));
		const addedBytes = [...sizes].filter(([hash]) => !this.#entries.has(hash)).reduce((sum, [, size]) => sum + size, 0);
		if (this.#reservedBytes + addedBytes > this.#limitBytes) {
			return Err(new ChunkError({
				kind: 'store-full',
				detail: `Version ${manifest.name} ${manifest.version} needs ${addedBytes} more bytes than the ${this.#reservedBytes} in use; the limit is ${this.#limitBytes}.`,
				remedy: 'Raise the limit of the chunk store, or release an old version.',
			}));
		}

		this.#reservedBytes += addedBytes;
		this.#manifests.set(manifestHash, manifest);
		for (const [hash, sizeBytes] of sizes) {
			const entry = this.#entries.get(hash) ?? {references: 0, sizeBytes};
			entry.references++;
			this.#entries.set(hash, entry);
		}

		return Ok.EMPTY;
	}

	/** Removes a manifest and the chunks that no other retained manifest lists. */
	release(manifestHash: string): void {
		const manifest = this.#manifests.get(manifestHash);
		if (!manifest) {
			return;
		}

		this.#manifests.delete(manifestHash);
		for (const hash of new Set(manifest.chunks)) {
			const entry = this.#entries.get(hash)!;
			entry.references--;
			if (entry.references === 0) {
				this.#entries.delete(hash);
				this.#reservedBytes -= entry.sizeBytes;
				this.#notify(hash, undefined);
			}
		}
	}

	/** Stores a chunk. A chunk that no retained manifest lists is ignored. */
	put(chunk: VerifiedChunk): void {
		const entry = this.#entries.get(chunk.hash);
		if (!entry || entry.chunk) {
			return;
		}

		entry.chunk = chunk;
		this.#notify(chunk.hash, chunk);
	}

	get(hash: string): VerifiedChunk | undefined {
		return this.#entries.get(hash)?.chunk;
	}

	has(hash: string): boolean {
		return this.get(hash) !== undefined;
	}

	/** Whether a retained manifest lists the chunk, so that it has arrived or is being fetched. */
	isExpected(hash: string): boolean {
		return this.#entries.has(hash);
	}

	/** Hashes of the retained manifests that list the chunk. */
	manifestsOf(hash: string): readonly string[] {
		return [...this.#manifests].filter(([, {chunks}]) => chunks.includes(hash)).map(([manifest]) => manifest);
	}

	/**
	Waits for a chunk. Resolves with `undefined` when the time runs out, the signal aborts, or the last manifest that
	lists it is released.
	*/
	async waitFor(hash: string, milliseconds: number, signal?: AbortSignal): Promise<VerifiedChunk | undefined> {
		const held = this.get(hash);
		if (held ?? signal?.aborted) {
			return held;
		}

		return new Promise(resolve => {
			const waiters = this.#waiters.get(hash) ?? new Set();
			this.#waiters.set(hash, waiters);
			const settle: Waiter = chunk => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', stopWaiting);
				waiters.delete(settle);
				if (waiters.size === 0 && this.#waiters.get(hash) === waiters) {
					this.#waiters.delete(hash);
				}

				resolve(chunk);
			};

			const stopWaiting = (): void => {
				settle(undefined);
			};

			const timer = setTimeout(stopWaiting, milliseconds);
			signal?.addEventListener('abort', stopWaiting, {once: true});
			waiters.add(settle);
		});
	}

	#notify(hash: string, chunk: VerifiedChunk | undefined): void {
		for (const settle of this.#waiters.get(hash) ?? []) {
			settle(chunk);
		}
	}
}
