/** Fetches chunks and manifests from peers. */
import {Agent, Pool, request} from 'undici';
import {
	createGuardedClient, describeError, readBody, signalWithTimeout,
} from '@yuccawood/common';
import {
	HELD_WAIT_MS, MAX_MANIFEST_BYTES, STALL_WINDOW_MS,
} from './constants.js';
import {CHUNK_STATE_HEADER, ORIGIN_STATE_HEADER, REQUESTER_HEADER} from './chunk-server.js';
import {ProgressWatch} from './progress-watch.js';
import type {TokenBucket} from './token-bucket.js';
import {ChunkAssembler, type VerifiedChunk} from './verified-chunk.js';

/**
Result of a request for a chunk.

- `chunk`: the peer sent the chunk, and its hash has been checked.
- `pending`: the peer is still fetching the chunk; `isOriginAway` if it waits for an origin that does not answer.
- `absent`: the peer neither has the chunk nor fetches it.
- `busy`: the peer has the chunk, but the upload waited too long in its queue.
- `corrupt`: the peer sent bytes of the wrong size or hash.
- `failed`: the peer is unreachable, did not answer in time or stalled.
*/
export type PeerAnswer =
	{readonly kind: 'chunk'; readonly chunk: VerifiedChunk}
	| {readonly kind: 'pending'; readonly isOriginAway?: true}
	| {readonly kind: 'absent' | 'busy'}
	| {readonly kind: 'corrupt' | 'failed'; readonly detail: string};

export type PeerChunkClientOptions = {
	readonly selfId: string;
	readonly connectTimeoutMs?: number;

	/** Time for which a peer is asked to hold a request. */
	readonly heldWaitMs?: number;

	/** Time without a byte or an interim response after which a peer counts as stalled. */
	readonly stallWindowMs?: number;
};

const parseChunkState = (headers: Readonly<Record<string, unknown>>): PeerAnswer => {
	const state = headers[CHUNK_STATE_HEADER];
	if (state === 'pending') {
		return {kind: 'pending', ...(headers[ORIGIN_STATE_HEADER] === 'away' && {isOriginAway: true})};
	}

	return {kind: state === 'busy' ? 'busy' : 'absent'};
};

export class PeerChunkClient {
	readonly #agent: Agent;
	readonly #selfId: string;
	readonly #heldWaitMs: number;
	readonly #stallWindowMs: number;

	constructor({selfId, connectTimeoutMs = 1000, heldWaitMs = HELD_WAIT_MS, stallWindowMs = STALL_WINDOW_MS}: PeerChunkClientOptions) {
		this.#selfId = selfId;
		this.#heldWaitMs = heldWaitMs;
		this.#stallWindowMs = stallWindowMs;
		this.#agent = new Agent({
			factory: (origin, options) => new Pool(origin, {...options as Pool.Options, factory: createGuardedClient}),
			connect: {timeout: connectTimeoutMs}, keepAliveTimeout: 10_000, pipelining: 1,
		});
	}

	/** Requests a chunk from a peer. The peer holds the request until it has the chunk or the hold time ends. Never rejects. */
	async fetchChunk(address: string, {hash, sizeBytes, buckets, acceptsBusy = false, isRelay = false, waitMs = this.#heldWaitMs, signal}: {
		readonly hash: string;
		readonly sizeBytes: number;

		/** Rate limits that apply to the received bytes. */
		readonly buckets: readonly TokenBucket[];

		/** Whether the peer may answer `busy`. */
		readonly acceptsBusy?: boolean;

		/** Whether this member relays the chunk to its region. */
		readonly isRelay?: boolean;

		/** Time for which the peer is asked to hold the request, in milliseconds; 0 for an answer at once. */
		readonly waitMs?: number;
		readonly signal: AbortSignal;
	}): Promise<PeerAnswer> {
		const watch = new ProgressWatch(this.#stallWindowMs);
		const combined = AbortSignal.any([signal, watch.signal]);
		watch.restart();
		try {
			const {statusCode, headers, body} = await request(`http://${address}/chunks/${hash}?wait=${waitMs}${acceptsBusy ? '&yield' : ''}${isRelay ? '&relay' : ''}`, {
				dispatcher: this.#agent, signal: combined, headers: {[REQUESTER_HEADER]: this.#selfId}, headersTimeout: 0, bodyTimeout: 0,
				onInfo() {
					watch.restart();
				},
			});
			if (statusCode !== 200) {
				await body.dump();
				return statusCode === 404 ? parseChunkState(headers) : {kind: 'failed', detail: `status ${statusCode}`};
			}

			const assembler = new ChunkAssembler(hash, sizeBytes);
			watch.restart();
			for await (const part of body as AsyncIterable<Uint8Array>) {
				watch.stop();
				if (!assembler.add(part)) {
					return {kind: 'corrupt', detail: `more than ${sizeBytes} bytes`};
				}

				for (const bucket of buckets) {
					await bucket.take(part.byteLength, signal);
				}

				watch.restart();
			}

			const result = assembler.finish();
			return result.ok ? {kind: 'chunk', chunk: result.val} : {kind: 'corrupt', detail: result.val.message};
		} catch (error) {
			return {kind: 'failed', detail: describeError(watch.signal.aborted ? watch.signal.reason : error)};
		} finally {
			watch.stop();
		}
	}

	/** @returns the bytes of a manifest, not checked yet, or `undefined` if the peer does not have it or does not answer. */
	async fetchManifest(address: string, hash: string, signal: AbortSignal): Promise<Uint8Array | undefined> {
		const limited = signalWithTimeout(signal, this.#heldWaitMs + this.#stallWindowMs);
		try {
			const {statusCode, body} = await request(`http://${address}/manifests/${hash}?wait=${this.#heldWaitMs}`, {
				dispatcher: this.#agent, signal: limited.signal,
			});
			if (statusCode === 200) {
				return await readBody(body, MAX_MANIFEST_BYTES);
			}

			await body.dump();
			return undefined;
		} catch {
			return undefined;
		} finally {
			limited.release();
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
