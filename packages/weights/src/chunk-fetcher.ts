/** Fetches single chunks from the sources that the planner assigns. Sources that fail are avoided for some time. */
import type {
	Clock, Log, Metrics, Random, Result,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import type {WeightOrigin} from '@yuccawood/interfaces';
import {
	ABSENT_TIMEOUT_MS, AVOID_ABSENT_MS, AVOID_CORRUPT_MS, AVOID_STALLED_MS, ORIGIN_RETRY_MS,
	PARENT_TIMEOUT_AT_BALANCE_0_MS, PARENT_TIMEOUT_AT_BALANCE_1_MS,
} from './constants.js';
import type {AvoidedPeers} from './avoided-peers.js';
import {
	listParticipants, type ChunkPosition, type ChunkPlanner, type Plan, type Source, type TreeKey,
} from './fetch-plan.js';
import type {PeerChunkClient} from './peer-chunk-client.js';
import type {TokenBucket} from './token-bucket.js';
import {verifyChunk, type VerifiedChunk} from './verified-chunk.js';

export type ChunkFetcherOptions = {
	readonly selfId: string;

	/** Name of the model that the upstream of this agent serves. */
	readonly service: string;

	/** Region of the origin. */
	readonly storeRegion: () => string;
	readonly members: MemberTable;
	readonly origin: WeightOrigin;
	readonly planner: ChunkPlanner;
	readonly peers: PeerChunkClient;
	readonly avoidance: AvoidedPeers;

	/** Rate limit of all received bytes. */
	readonly link: TokenBucket;

	/** Rate limit of bytes received from other regions. */
	readonly crossRegionLink: TokenBucket;

	/** Rate limit of bytes received from the origin. */
	readonly originLink: TokenBucket;

	/** Longest pause after a failed fetch from the origin, in milliseconds. */
	readonly maxOriginRetryMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;

	/** `rollout.balance` of the current configuration, from 0 (fewest bytes from the origin) to 1 (shortest time). */
	readonly balance: () => number;
};

export type ChunkTask = ChunkPosition & {
	/** Hash of the manifest that lists the chunk. */
	readonly manifest: string;

	/** SHA-256 of the chunk, in hexadecimal digits. */
	readonly hash: string;
	readonly tree: TreeKey;
	readonly sizeBytes: number;

	/** Resolves when this member may fetch the chunk from the origin, or when `signal` aborts. */
	readonly waitForOriginRead: () => Promise<void>;
	readonly signal: AbortSignal;
};

/** State of one fetch over its attempts. Times are monotonic, in milliseconds. */
type FetchState = {
	readonly startedAt: number;

	/** Id of the peer that was asked last. */
	waitingForPeer?: string;

	/** Time at which that peer was first asked. */
	waitingSince: number;
	originFailures: number;

	/** Whether the parent was busy, so that its other child is asked instead. */
	asksSibling: boolean;
};

/**
Longest wait for a peer that answers but does not have the chunk yet, in milliseconds. Decreases exponentially with
`balance`.
*/
export const parentTimeoutMs = (balance: number): number => PARENT_TIMEOUT_AT_BALANCE_0_MS * ((PARENT_TIMEOUT_AT_BALANCE_1_MS / PARENT_TIMEOUT_AT_BALANCE_0_MS) ** balance);

export class ChunkFetcher {
	readonly #options: ChunkFetcherOptions;
	readonly #pendingRequests = new Map<string, number>();

	constructor(options: ChunkFetcherOptions) {
		this.#options = options;
	}

	/** Number of unanswered requests by source: the id of a member, or `origin`. */
	get awaited(): ReadonlyMap<string, number> {
		return this.#pendingRequests;
	}

	/** Tries sources until one returns a valid chunk. @returns the chunk, or `undefined` if the signal aborted. */
	async fetch(task: ChunkTask): Promise<VerifiedChunk | undefined> {
		const {clock, avoidance} = this.#options;
		const state: FetchState = {
			startedAt: clock.monotonic(), waitingSince: 0, originFailures: 0, asksSibling: false,
		};
		try {
			while (!task.signal.aborted) {
				const plan = this.#plan(task, state);
				const chunk = await this.#fetchFromSource(task, plan, state);
				if (chunk) {
					return chunk;
				}
			}

			return undefined;
		} finally {
			avoidance.clear(task.hash);
		}
	}

	/**
	Whether this member is the relay of its region for the chunk: it fetches the chunk from outside the region or from
	the origin and redistributes it.
	*/
	isRelay(position: ChunkPosition & Pick<ChunkTask, 'manifest' | 'tree'>): boolean {
		return this.#plan({...position, hash: position.chunks[position.index]}, {asksSibling: false}).position === 0;
	}

	async #fetchFromSource(task: ChunkTask, plan: Plan, state: FetchState): Promise<VerifiedChunk | undefined> {
		const {source} = plan;
		const name = source.kind === 'origin' ? source.kind : source.id;
		this.#pendingRequests.set(name, (this.#pendingRequests.get(name) ?? 0) + 1);
		try {
			return await (source.kind === 'origin' ? this.#fetchFromOrigin(task, state) : this.#fetchFromPeer(task, plan, source, state));
		} finally {
			const remaining = this.#pendingRequests.get(name)! - 1;
			if (remaining > 0) {
				this.#pendingRequests.set(name, remaining);
			} else {
				this.#pendingRequests.delete(name);
			}
		}
	}

	#plan({hash, tree, manifest, index, chunks}: Pick<ChunkTask, 'hash' | 'tree' | 'manifest' | 'index' | 'chunks'>, {asksSibling}: Pick<FetchState, 'asksSibling'>): Plan {
		const {selfId, service, storeRegion, members, avoidance, planner} = this.#options;
		return planner.plan({
			tree,
			index,
			chunks,
			manifest,
			selfId,
			region: members.self.region,
			storeRegion: storeRegion(),
			participants: listParticipants(members.members, {selfId, service, manifest}),
			isAvoided: id => avoidance.isAvoided(id) || avoidance.isAvoided(id, manifest) || avoidance.isAvoided(id, hash),
			asksSibling,
		});
	}

	async #fetchFromOrigin({hash, sizeBytes, waitForOriginRead: originTurn, signal}: ChunkTask, state: FetchState): Promise<VerifiedChunk | undefined> {
		const {origin, link, originLink, metrics, log} = this.#options;
		await originTurn();
		await originLink.take(sizeBytes, signal);
		await link.take(sizeBytes, signal);
		if (signal.aborted) {
			return undefined;
		}

		const result = await origin.chunk(hash, signal);
		if (signal.aborted) {
			return undefined;
		}

		if (result.ok) {
			metrics.count('weights.origin_bytes', {}, result.val.byteLength);
			const verified = await verifyChunk(hash, sizeBytes, result.val);
			if (verified.ok) {
				return verified.val;
			}

			metrics.count('weights.corrupt_chunks', {source: 'origin'});
		}

		log.warn('The origin did not return a valid chunk. The chunk is fetched again.', {chunk: hash, error: describeFailure(result)});
		await this.#backOffFromOrigin(hash, state, signal);
		return undefined;
	}

	/** Pauses after a failed fetch from the origin. Ends the avoidance of members for this chunk, since they may have it by now. */
	async #backOffFromOrigin(hash: string, state: FetchState, signal: AbortSignal): Promise<void> {
		const {clock, random, avoidance} = this.#options;
		const pauseMs = Math.min(this.#options.maxOriginRetryMs, ORIGIN_RETRY_MS * (2 ** state.originFailures));
		state.originFailures++;
		await clock.sleep(pauseMs * (0.5 + random.next()), signal);
		avoidance.clear(hash);
	}

	async #fetchFromPeer(task: ChunkTask, plan: Plan, source: Extract<Source, {kind: 'peer'}>, state: FetchState): Promise<VerifiedChunk | undefined> {
		const {peers, link, crossRegionLink, metrics} = this.#options;
		const {hash, sizeBytes, signal} = task;
		if (state.waitingForPeer !== source.id) {
			state.waitingForPeer = source.id;
			state.waitingSince = this.#options.clock.monotonic();
		}

		const buckets = source.isCrossRegion ? [link, crossRegionLink] : [link];
		const answer = await peers.fetchChunk(source.address, {
			hash, sizeBytes, buckets, signal, acceptsBusy: plan.canAskSibling && !state.asksSibling, isRelay: plan.position === 0,
		});
		if (signal.aborted) {
			return undefined;
		}

		if (answer.kind === 'chunk') {
			metrics.count('weights.peer_bytes', {crossRegion: String(source.isCrossRegion)}, sizeBytes);
			return answer.chunk;
		}

		if (answer.kind === 'busy') {
			state.asksSibling = true;
			return undefined;
		}

		state.asksSibling &&= answer.kind === 'pending';
		this.#avoidAfterFailure(task, plan, {id: source.id, answer: answer.kind, waitedMs: this.#options.clock.monotonic() - state.waitingSince});
		if ('detail' in answer) {
			this.#options.log.info('A peer did not send a chunk. Another source is asked.', {
				peer: source.id, chunk: hash, answer: answer.kind, detail: answer.detail,
			});
		}

		return undefined;
	}

	/** Avoids a peer that did not send the chunk, if its answer or the time waited for it calls for that. */
	#avoidAfterFailure({hash, manifest}: ChunkTask, {position}: Plan, {id, answer, waitedMs}: {
		readonly id: string;
		readonly answer: 'pending' | 'absent' | 'corrupt' | 'failed';
		readonly waitedMs: number;
	}): void {
		const {avoidance, random, metrics, balance} = this.#options;

		// Members deeper in the tree wait longer, since their parents get the chunk later. Random jitter keeps members at the
		// same depth from changing their source all at once.
		const timeoutFactor = (1 + (Math.log2(position + 1) / 2)) * (0.75 + (random.next() / 2));
		switch (answer) {
			case 'corrupt': {
				metrics.count('weights.corrupt_chunks', {source: 'peer'});
				avoidance.avoid(id, AVOID_CORRUPT_MS);
				return;
			}

			case 'failed': {
				metrics.count('weights.failed_peers');
				avoidance.avoid(id, AVOID_STALLED_MS);
				return;
			}

			case 'absent': {
				if (waitedMs > ABSENT_TIMEOUT_MS * timeoutFactor) {
					avoidance.avoid(id, AVOID_ABSENT_MS, manifest);
				}

				return;
			}

			case 'pending': {
				if (waitedMs > parentTimeoutMs(balance()) * timeoutFactor) {
					avoidance.avoid(id, AVOID_STALLED_MS, hash);
				}
			}
		}
	}
}

const describeFailure = (result: Result<unknown, {readonly message: string}>): string => result.ok ? 'the bytes are corrupt' : result.val.message;
