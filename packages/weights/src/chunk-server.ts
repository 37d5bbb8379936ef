/** Serves chunks and manifests to peers: `GET /chunks/<sha256>?wait=ms` and `GET /manifests/<sha256>`. */
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {limitSignal, type Metrics, type PeerServer} from '@yuccawood/common';
import {
	HEARTBEAT_MS, MAX_HELD_WAIT_MS, STALL_WINDOW_MS, UPLOAD_SLICE_BYTES, YIELD_AFTER_MS,
} from './constants.js';
import type {ChunkStore} from './chunk-store.js';
import type {ManifestLibrary} from './manifest-library.js';
import type {TokenBucket} from './token-bucket.js';
import type {UploadQueue} from './upload-queue.js';
import type {VerifiedChunk} from './verified-chunk.js';

/**
Response header of a 404: `pending` while the member fetches the chunk itself, `absent` when it has no use for it,
`busy` when it has the chunk but its uploads are late and the requester can ask another member.
*/
export const CHUNK_STATE_HEADER = 'yuccawood-chunk';

/** Request header with the id of the member that asks, for fair sharing. */
export const REQUESTER_HEADER = 'yuccawood-vm';

export type ChunkServerOptions = {
	readonly store: ChunkStore;
	readonly uploads: UploadQueue;
	readonly bucket: TokenBucket;
	readonly metrics: Metrics;
	readonly manifests: ManifestLibrary;
};

const HASH_PATH = /^\/(?:chunks|manifests)\/([\da-f]{64})$/;

type Target = {
	readonly hash: string;
	readonly waitMs: number;

	/** Whether the requester can ask another member when this one is busy. */
	readonly mayYield: boolean;

	/** Whether the requester passes the chunk on to its region. */
	readonly isRelay: boolean;
};

const readTarget = (request: IncomingMessage): Target | undefined => {
	const url = new URL(request.url ?? '/', 'http://peer');
	const hash = HASH_PATH.exec(url.pathname)?.[1];
	const waitMs = Number(url.searchParams.get('wait') ?? 0);
	return hash === undefined || request.method !== 'GET' || !(waitMs >= 0)
		? undefined
		: {
			hash, waitMs: Math.min(waitMs, MAX_HELD_WAIT_MS), mayYield: url.searchParams.has('yield'), isRelay: url.searchParams.has('relay'),
		};
};

const refuse = (response: ServerResponse, status: number, headers: Readonly<Record<string, string>> = {}): void => {
	response.writeHead(status, {...headers, 'content-length': 0});
	response.end();
};

/** Tells the peer with interim responses (102) that this process is alive while a request is held or queued. */
const startHeartbeat = (response: ServerResponse): NodeJS.Timeout => setInterval(() => {
	if (!response.headersSent && !response.destroyed) {
		response.writeProcessing();
	}
}, HEARTBEAT_MS);

/** Aborts when the peer goes away before the answer is complete. */
const closeSignal = (response: ServerResponse): AbortSignal => {
	const closed = new AbortController();
	response.on('close', () => {
		if (!response.writableFinished) {
			closed.abort();
		}
	});
	return closed.signal;
};

export class ChunkServer {
	readonly #options: ChunkServerOptions;

	constructor(options: ChunkServerOptions) {
		this.#options = options;
	}

	register(server: PeerServer): void {
		server.handle('/chunks/', async (request, response) => this.#serveChunk(request, response));
		server.handle('/manifests/', async (request, response) => this.#serveManifest(request, response));
	}

	async #serveManifest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const target = readTarget(request);
		const known = target && await this.#options.manifests.waitFor(target.hash, target.waitMs, closeSignal(response));
		if (!known) {
			refuse(response, target ? 404 : 400);
			return;
		}

		response.writeHead(200, {'content-type': 'application/json', 'content-length': known.bytes.byteLength});
		response.end(known.bytes);
	}

	async #serveChunk(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const target = readTarget(request);
		if (!target) {
			refuse(response, 400);
			return;
		}

		const signal = closeSignal(response);
		const heartbeat = startHeartbeat(response);
		try {
			const {store} = this.#options;
			const chunk = await store.waitFor(target.hash, target.waitMs, signal);
			if (signal.aborted) {
				return;
			}

			if (!chunk) {
				refuse(response, 404, {[CHUNK_STATE_HEADER]: store.wants(target.hash) ? 'pending' : 'absent'});
				return;
			}

			const peer = String(request.headers[REQUESTER_HEADER] ?? request.socket.remoteAddress);
			const queueLimit = target.mayYield ? limitSignal(signal, YIELD_AFTER_MS) : undefined;
			const free = await this.#options.uploads.acquire(peer, queueLimit?.signal ?? signal, target.isRelay);
			queueLimit?.release();
			if (free) {
				await this.#send(chunk, response, {peer, signal, free});
			} else if (!signal.aborted) {
				this.#options.metrics.count('weights.yielded_uploads');
				refuse(response, 404, {[CHUNK_STATE_HEADER]: 'busy'});
			}
		} finally {
			clearInterval(heartbeat);
		}
	}

	async #send(chunk: VerifiedChunk, response: ServerResponse, {peer, signal, free}: {
		readonly peer: string;
		readonly signal: AbortSignal;

		/** Frees the upload slot. */
		readonly free: () => void;
	}): Promise<void> {
		const {uploads, bucket, metrics} = this.#options;
		try {
			response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': chunk.data.byteLength});
			for (let start = 0; start < chunk.data.byteLength && !signal.aborted; start += UPLOAD_SLICE_BYTES) {
				const slice = chunk.data.subarray(start, start + UPLOAD_SLICE_BYTES);
				await bucket.take(slice.byteLength, signal);
				uploads.record(peer, slice.byteLength);
				metrics.count('weights.uploaded_bytes', {}, slice.byteLength);
				if (!response.write(slice)) {
					const stallLimit = limitSignal(signal, STALL_WINDOW_MS);
					try {
						await once(response, 'drain', {signal: stallLimit.signal});
					} finally {
						stallLimit.release();
					}
				}
			}

			response.end();
		} catch {
			// A peer that reads nothing within the window must not keep an upload slot.
			response.destroy();
		} finally {
			free();
		}
	}
}
