/** Chunks held in memory. Versions share common chunks, which stay until no retained manifest names them. */
import {Err, Ok, type Result} from '@yuccawood/common';
import {DEFAULT_STORE_BYTES} from './constants.js';
import {ChunkError} from './errors.js';
import {chunkSize, type Manifest} from './manifest.js';
import type {VerifiedChunk} from './verified-chunk.js';

type Entry = {references: number; readonly sizeBytes: number; chunk?: VerifiedChunk};
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

	/** Bytes of the distinct chunks of all retained manifests, held or still to come. */
	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	/** Hashes of the retained manifests. */
	get retained(): readonly string[] {
		return [...this.#manifests.keys()];
	}

	/** Hashes of the manifests whose chunks are all held. */
	get complete(): readonly string[] {
		return [...this.#manifests].filter(([, {chunks}]) => chunks.every(hash => this.has(hash))).map(([hash]) => hash);
	}

	/** Reserves room for the chunks of a manifest. Retaining it again has no effect. */
	retain(manifestHash: string, manifest: Manifest): Result<void, ChunkError> {
		if (this.#manifests.has(manifestHash)) {
			return Ok.EMPTY;
		}

		const sizes = new Map(manifest.chunks.map((hash, index) => [hash, chunkSize(manifest, index)]));
		const added = [...sizes].filter(([hash]) => !this.#entries.has(hash)).reduce((sum, [, size]) => sum + size, 0);
		if (this.#reservedBytes + added > this.#limitBytes) {
			return Err(new ChunkError({
				kind: 'store-full',
				detail: `Version ${manifest.name} ${manifest.version} needs ${added} more bytes than the ${this.#reservedBytes} in use; the limit is ${this.#limitBytes}.`,
				remedy: 'Raise the limit of the chunk store, or release an old version.',
			}));
		}

		this.#reservedBytes += added;
		this.#manifests.set(manifestHash, manifest);
		for (const [hash, sizeBytes] of sizes) {
			const entry = this.#entries.get(hash) ?? {references: 0, sizeBytes};
			entry.references++;
			this.#entries.set(hash, entry);
		}

		return Ok.EMPTY;
	}

	/** Gives up a manifest and the chunks that no other retained manifest names. */
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

	/** Stores a chunk. A chunk that no retained manifest names is dropped. */
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

	/** Whether a retained manifest names the chunk, so that it is held or on its way. */
	isExpected(hash: string): boolean {
		return this.#entries.has(hash);
	}

	/** Waits for a chunk. Resolves with nothing when the time runs out, the signal aborts, or the chunk is no longer wanted. */
	async waitFor(hash: string, milliseconds: number, signal?: AbortSignal): Promise<VerifiedChunk | undefined> {
		const known = this.get(hash);
		if (known ?? signal?.aborted) {
			return known;
		}

		return new Promise(resolve => {
			const waiters = this.#waiters.get(hash) ?? new Set();
			this.#waiters.set(hash, waiters);
			const settle: Waiter = chunk => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', abandon);
				waiters.delete(settle);
				if (waiters.size === 0 && this.#waiters.get(hash) === waiters) {
					this.#waiters.delete(hash);
				}

				resolve(chunk);
			};

			const abandon = (): void => {
				settle(undefined);
			};

			const timer = setTimeout(abandon, milliseconds);
			signal?.addEventListener('abort', abandon, {once: true});
			waiters.add(settle);
		});
	}

	#notify(hash: string, chunk: VerifiedChunk | undefined): void {
		for (const settle of this.#waiters.get(hash) ?? []) {
			settle(chunk);
		}
	}
}
