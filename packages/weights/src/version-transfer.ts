/** Fetches all chunks of a version with a limited number of requests at the same time. */
import type {ChunkFetcher} from './chunk-fetcher.js';
import type {ChunkStore} from './chunk-store.js';
import {ORIGIN_AHEAD_CHUNKS, TRANSFER_WINDOW} from './constants.js';
import {treeKeyOf} from './fetch-plan.js';
import {chunkSize, type Manifest} from './manifest.js';
import type {VerifiedChunk} from './verified-chunk.js';

export type VersionTransferOptions = {
	/** Hash of the manifest. */
	readonly hash: string;
	readonly manifest: Manifest;
	readonly store: ChunkStore;
	readonly fetcher: ChunkFetcher;
	readonly signal: AbortSignal;

	/** Called once for each chunk as soon as the store holds it, including the chunks that it already held. */
	readonly onChunk?: (chunk: VerifiedChunk) => void;

	/** Number of chunks that are requested at the same time. */
	readonly window?: number;

	/** Number of chunks by which fetches from the origin may run ahead of the chunks that have arrived. */
	readonly originReadAhead?: number;
};

/** Delays fetches from the origin that run too far ahead of the chunks that have arrived. */
class OriginReadLimiter {
	#arrivedChunks = 0;
	readonly #waiting: Array<{readonly index: number; readonly start: () => void}> = [];

	constructor(private readonly maxChunksAhead: number) {}

	/** Resolves when the chunk at this index may be fetched from the origin, or when the signal aborts. */
	async wait(index: number, signal: AbortSignal): Promise<void> {
		if (index < this.#arrivedChunks + this.maxChunksAhead || signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#waiting.push({index, start: resolve});
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	/** Counts a chunk that has arrived and starts the fetches that this allows. */
	chunkArrived(): void {
		this.#arrivedChunks++;
		const limit = this.#arrivedChunks + this.maxChunksAhead;
		const ready = this.#waiting.filter(({index}) => index < limit);
		const later = this.#waiting.filter(({index}) => index >= limit);
		this.#waiting.splice(0, this.#waiting.length, ...later);
		for (const {start} of ready) {
			start();
		}
	}
}

/**
Resolves when the store holds all chunks, or when the signal aborts. The manifest must be retained in the store before
the call.
*/
export const transferVersion = async ({
	hash: manifestHash, manifest, store, fetcher, signal, onChunk = () => undefined, window = TRANSFER_WINDOW, originReadAhead = ORIGIN_AHEAD_CHUNKS,
}: VersionTransferOptions): Promise<void> => {
	const sizes = new Map(manifest.chunks.map((hash, index) => [hash, chunkSize(manifest, index)]));
	const chunks = [...sizes];
	const hashes = [...sizes.keys()];
	const originReads = new OriginReadLimiter(originReadAhead);
	let next = 0;

	const fetchNext = async (index: number): Promise<void> => {
		const [hash, sizeBytes] = chunks[index];
		const chunk = store.get(hash) ?? await fetcher.fetch({
			manifest: manifestHash, hash, tree: treeKeyOf(hashes, index), index, chunks: hashes, sizeBytes, signal, waitForOriginRead: async () => originReads.wait(index, signal),
		});
		if (!chunk || signal.aborted) {
			return;
		}

		store.put(chunk);
		originReads.chunkArrived();
		onChunk(chunk);
	};

	const fetchRemaining = async (): Promise<void> => {
		while (next < chunks.length && !signal.aborted) {
			await fetchNext(next++);
		}
	};

	await Promise.all(Array.from({length: Math.min(window, chunks.length)}, async () => fetchRemaining()));
};
