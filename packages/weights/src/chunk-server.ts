/** Serves chunks and manifests to peers: `GET /chunks/<sha256>?wait=ms` and `GET /manifests/<sha256>`. */
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {signalWithTimeout, type Metrics, type PeerServer} from '@yuccawood/common';
import {
	ABSENT_WAIT_MS, HEARTBEAT_MS, MAX_HELD_WAIT_MS, STALL_WINDOW_MS, UPLOAD_SLICE_BYTES, BUSY_AFTER_MS,
} from './constants.js';
import type {ChunkStore} from './chunk-store.js';
import type {ManifestLibrary} from './manifest-library.js';
import type {TokenBucket} from './token-bucket.js';
import type {UploadQueue} from './upload-queue.js';
import type {VerifiedChunk} from './verified-chunk.js';

/**
Header of a response with status 404.

- `pending`: this member is still fetching the chunk.
- `absent`: this member neither has the chunk nor fetches it.
- `busy`: this member has the chunk, but the upload waited too long in the queue, and the requester can ask another member.
*/
export const CHUNK_STATE_HEADER = 'yuccawood-chunk';

/** Header of a response with the state `pending`: `away` if this member waits for an origin that does not answer. */
export const ORIGIN_STATE_HEADER = 'yuccawood-origin';

/** Request header with the id of the requesting member, by which uploads are shared fairly. */
export const REQUESTER_HEADER = 'yuccawood-vm';

export type ChunkServerOptions = {
	readonly store: ChunkStore;
	readonly uploads: UploadQueue;
	readonly bucket: TokenBucket;
	readonly metrics: Metrics;
	readonly manifests: ManifestLibrary;

	/** Whether this member knows that the origin does not send a chunk. */
	readonly isOriginAway?: (hash: string) => boolean;
};

/** Path of a request; the group is the hash. */
const HASH_PATH = /^\/(?:chunks|manifests)\/([\da-f]{64})$/;

/** Parsed request for a chunk or a manifest. */
type PeerRequest = {
	readonly hash: string;

	/** Time for which the request is held if the content is not there yet, in milliseconds. */
	readonly waitMs: number;

	/** Whether the requester can ask another member if this one answers `busy`. */
	readonly acceptsBusy: boolean;

	/** Whether the requester relays the chunk to its region. */
	readonly isRelay: boolean;
};

/** @returns `undefined` for a request that is not valid. */
const parseRequest = (request: IncomingMessage): PeerRequest | undefined => {
	const url = new URL(request.url ?? '/', 'http://peer');
	const hash = HASH_PATH.exec(url.pathname)?.[1];
	const waitMs = Number(url.searchParams.get('wait') ?? 0);
	return hash === undefined || request.method !== 'GET' || !(waitMs >= 0)
		? undefined
		: {
			hash, waitMs: Math.min(waitMs, MAX_HELD_WAIT_MS), acceptsBusy: url.searchParams.has('yield'), isRelay: url.searchParams.has('relay'),
		};
};

const reject = (response: ServerResponse, status: number, headers: Readonly<Record<string, string>> = {}): void => {
	response.writeHead(status, {...headers, 'content-length': 0});
	response.end();
};

/** Sends interim responses (102) while a request is held or queued, which show the peer that this process is alive. */
const startHeartbeat = (response: ServerResponse): NodeJS.Timeout => setInterval(() => {
	if (!response.headersSent && !response.destroyed) {
		response.writeProcessing();
	}
}, HEARTBEAT_MS);

/** @returns a signal that aborts when the connection closes before the response is complete. */
const abortOnClose = (response: ServerResponse): AbortSignal => {
	const closed = new AbortController();
	response.on('close', () => {
		if (!response.writableFinished) {
			closed.abort();
		}
	});
	return closed.signal;
};

/** Answers the requests of peers for chunks and manifests. */
export class ChunkServer {
	readonly #options: ChunkServerOptions;

	constructor(options: ChunkServerOptions) {
		this.#options = options;
	}

	register(server: PeerServer): void {
		server.registerHandler('/chunks/', async (request, response) => this.#serveChunk(request, response));
		server.registerHandler('/manifests/', async (request, response) => this.#serveManifest(request, response));
	}

	async #serveManifest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const peerRequest = parseRequest(request);
		const verified = peerRequest && await this.#options.manifests.waitFor(peerRequest.hash, peerRequest.waitMs, abortOnClose(response));
		if (!verified) {
			reject(response, peerRequest ? 404 : 400);
			return;
		}

		response.writeHead(200, {'content-type': 'application/json', 'content-length': verified.bytes.byteLength});
		response.end(verified.bytes);
	}

	async #serveChunk(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const peerRequest = parseRequest(request);
		if (!peerRequest) {
			reject(response, 400);
			return;
		}

		const signal = abortOnClose(response);
		const heartbeat = startHeartbeat(response);
		try {
			const {store, isOriginAway = () => false} = this.#options;
			const waitMs = store.isExpected(peerRequest.hash) ? peerRequest.waitMs : Math.min(peerRequest.waitMs, ABSENT_WAIT_MS);
			const chunk = await store.waitFor(peerRequest.hash, waitMs, signal);
			if (signal.aborted) {
				return;
			}

			if (!chunk) {
				reject(response, 404, {
					[CHUNK_STATE_HEADER]: store.isExpected(peerRequest.hash) ? 'pending' : 'absent',
					...(isOriginAway(peerRequest.hash) && {[ORIGIN_STATE_HEADER]: 'away'}),
				});
				return;
			}

			const peer = String(request.headers[REQUESTER_HEADER] ?? request.socket.remoteAddress);
			const queueLimit = peerRequest.acceptsBusy ? signalWithTimeout(signal, BUSY_AFTER_MS) : undefined;
			const releaseSlot = await this.#options.uploads.acquire(peer, queueLimit?.signal ?? signal, peerRequest.isRelay);
			queueLimit?.release();
			if (releaseSlot) {
				await this.#send(chunk, response, {peer, signal, releaseSlot});
			} else if (!signal.aborted) {
				this.#options.metrics.count('weights.yielded_uploads');
				reject(response, 404, {[CHUNK_STATE_HEADER]: 'busy'});
			}
		} finally {
			clearInterval(heartbeat);
		}
	}

	async #send(chunk: VerifiedChunk, response: ServerResponse, {peer, signal, releaseSlot}: {
		readonly peer: string;
		readonly signal: AbortSignal;

		/** Releases the upload slot. */
		readonly releaseSlot: () => void;
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
					const stallLimit = signalWithTimeout(signal, STALL_WINDOW_MS);
					try {
						await once(response, 'drain', {signal: stallLimit.signal});
					} finally {
						stallLimit.release();
					}
				}
			}

			response.end();
		} catch {
			// A peer that reads nothing within the stall window loses its connection, so that it does not occupy an upload slot.
			response.destroy();
		} finally {
			releaseSlot();
		}
	}
}
