/** Fetches all chunks of a version with a window of outstanding requests. */
import type {ChunkFetcher} from './chunk-fetcher.js';
import type {ChunkStore} from './chunk-store.js';
import {ORIGIN_AHEAD_CHUNKS, TRANSFER_WINDOW} from './constants.js';
import {treeKeyOf} from './fetch-plan.js';
import {chunkSize, type Manifest} from './manifest.js';
import type {VerifiedChunk} from './verified-chunk.js';

export type VersionTransferOptions = {
	readonly hash: string;
	readonly manifest: Manifest;
	readonly store: ChunkStore;
	readonly fetcher: ChunkFetcher;
	readonly signal: AbortSignal;

	/** Called for each chunk as soon as it is held, also for those held from the start. */
	readonly onChunk?: (chunk: VerifiedChunk) => void;
	readonly window?: number;
	readonly originAhead?: number;
};

/** Lets origin reads run only a little ahead of the chunks that have arrived. */
class OriginTurns {
	#arrived = 0;
	readonly #waiting: Array<{readonly index: number; readonly start: () => void}> = [];

	constructor(private readonly ahead: number) {}

	async wait(index: number, signal: AbortSignal): Promise<void> {
		if (index < this.#arrived + this.ahead || signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#waiting.push({index, start: resolve});
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	chunkArrived(): void {
		this.#arrived++;
		const limit = this.#arrived + this.ahead;
		const ready = this.#waiting.filter(({index}) => index < limit);
		const later = this.#waiting.filter(({index}) => index >= limit);
		this.#waiting.splice(0, this.#waiting.length, ...later);
		for (const {start} of ready) {
			start();
		}
	}
}

/** Resolves when all chunks are held, or when the signal aborts. The manifest must be retained in the store. */
export const transferVersion = async ({
	hash: manifestHash, manifest, store, fetcher, signal, onChunk = () => undefined, window = TRANSFER_WINDOW, originAhead = ORIGIN_AHEAD_CHUNKS,
}: VersionTransferOptions): Promise<void> => {
	const sizes = new Map(manifest.chunks.map((hash, index) => [hash, chunkSize(manifest, index)]));
	const chunks = [...sizes];
	const hashes = [...sizes.keys()];
	const turns = new OriginTurns(originAhead);
	let next = 0;

	const fetchNext = async (index: number): Promise<void> => {
		const [hash, sizeBytes] = chunks[index];
		const chunk = store.get(hash) ?? await fetcher.fetch({
			manifest: manifestHash, hash, tree: treeKeyOf(hashes, index), index, chunks: hashes, sizeBytes, signal, originTurn: async () => turns.wait(index, signal),
		});
		if (!chunk || signal.aborted) {
			return;
		}

		store.put(chunk);
		turns.chunkArrived();
		onChunk(chunk);
	};

	const work = async (): Promise<void> => {
		while (next < chunks.length && !signal.aborted) {
			await fetchNext(next++);
		}
	};

	await Promise.all(Array.from({length: Math.min(window, chunks.length)}, async () => work()));
};
