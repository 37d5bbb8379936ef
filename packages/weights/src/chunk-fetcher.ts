/** Fetches one chunk at a time from the source that the plan assigns, and passes over sources that fail. */
import type {
	Clock, Log, Metrics, Random, Result,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import type {WeightOrigin} from '@yuccawood/interfaces';
import {
	ABSENT_TIMEOUT_MS, AVOID_ABSENT_MS, AVOID_CORRUPT_MS, AVOID_STALLED_MS, ORIGIN_RETRY_MS,
	PARENT_TIMEOUT_AT_BALANCE_0_MS, PARENT_TIMEOUT_AT_BALANCE_1_MS,
} from './constants.js';
import type {Avoidance} from './avoidance.js';
import {
	listParticipants, type ChunkPlace, type ChunkPlanner, type Plan, type Source, type TreeKey,
} from './fetch-plan.js';
import type {PeerChunkClient} from './peer-chunk-client.js';
import type {TokenBucket} from './token-bucket.js';
import {verifyChunk, type VerifiedChunk} from './verified-chunk.js';

export type ChunkFetcherOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly storeRegion: () => string;
	readonly members: MemberTable;
	readonly origin: WeightOrigin;
	readonly planner: ChunkPlanner;
	readonly peers: PeerChunkClient;
	readonly avoidance: Avoidance;
	readonly link: TokenBucket;
	readonly crossRegionLink: TokenBucket;
	readonly originLink: TokenBucket;

	/** Longest pause after a failed read from the origin, in milliseconds. */
	readonly maxOriginRetryMs: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;

	/** `rollout.balance` in force, from 0 to 1. */
	readonly balance: () => number;
};

export type ChunkTask = ChunkPlace & {
	readonly manifest: string;
	readonly hash: string;
	readonly tree: TreeKey;
	readonly sizeBytes: number;

	/** Waits until this member may read the chunk from the origin. */
	readonly originTurn: () => Promise<void>;
	readonly signal: AbortSignal;
};

/** What one fetch has met so far. */
type FetchState = {
	readonly startedAt: number;
	waitingFor?: string;
	waitingSince: number;
	originFailures: number;

	/** The parent was busy, so the chunk comes from its other child. */
	asksSibling: boolean;
};

/** Longest wait for a parent that answers but has not got the chunk, in milliseconds. */
export const parentTimeoutMs = (balance: number): number => PARENT_TIMEOUT_AT_BALANCE_0_MS * ((PARENT_TIMEOUT_AT_BALANCE_1_MS / PARENT_TIMEOUT_AT_BALANCE_0_MS) ** balance);

export class ChunkFetcher {
	readonly #options: ChunkFetcherOptions;
	readonly #awaited = new Map<string, number>();

	constructor(options: ChunkFetcherOptions) {
		this.#options = options;
	}

	/** Requests that wait for an answer, by source: ids of members, or `origin`. */
	get awaited(): ReadonlyMap<string, number> {
		return this.#awaited;
	}

	/** @returns the chunk, or nothing when the signal aborted. */
	async fetch(task: ChunkTask): Promise<VerifiedChunk | undefined> {
		const {clock, avoidance} = this.#options;
		const state: FetchState = {
			startedAt: clock.monotonic(), waitingSince: 0, originFailures: 0, asksSibling: false,
		};
		try {
			while (!task.signal.aborted) {
				const plan = this.#plan(task, state);
				const chunk = await this.#ask(task, plan, state);
				if (chunk) {
					return chunk;
				}
			}

			return undefined;
		} finally {
			avoidance.clear(task.hash);
		}
	}

	/** Whether this member reads the chunk for its region and passes it on. */
	isReader(place: ChunkPlace & Pick<ChunkTask, 'manifest' | 'tree'>): boolean {
		return this.#plan({...place, hash: place.chunks[place.index]}, {asksSibling: false}).position === 0;
	}

	async #ask(task: ChunkTask, plan: Plan, state: FetchState): Promise<VerifiedChunk | undefined> {
		const {source} = plan;
		const name = source.kind === 'origin' ? source.kind : source.id;
		this.#awaited.set(name, (this.#awaited.get(name) ?? 0) + 1);
		try {
			return await (source.kind === 'origin' ? this.#readOrigin(task, state) : this.#askPeer(task, plan, source, state));
		} finally {
			const left = this.#awaited.get(name)! - 1;
			if (left > 0) {
				this.#awaited.set(name, left);
			} else {
				this.#awaited.delete(name);
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

	async #readOrigin({hash, sizeBytes, originTurn, signal}: ChunkTask, state: FetchState): Promise<VerifiedChunk | undefined> {
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
			const checked = await verifyChunk(hash, sizeBytes, result.val);
			if (checked.ok) {
				return checked.val;
			}

			metrics.count('weights.corrupt_chunks', {source: 'origin'});
		}

		log.warn('The origin did not return a valid chunk; trying again.', {chunk: hash, error: describeFailure(result)});
		await this.#pauseForOrigin(hash, state, signal);
		return undefined;
	}

	/** Pauses after a failed read, and asks members again that were passed over for this chunk: they may have it by now. */
	async #pauseForOrigin(hash: string, state: FetchState, signal: AbortSignal): Promise<void> {
		const {clock, random, avoidance} = this.#options;
		const pauseMs = Math.min(this.#options.maxOriginRetryMs, ORIGIN_RETRY_MS * (2 ** state.originFailures));
		state.originFailures++;
		await clock.sleep(pauseMs * (0.5 + random.next()), signal);
		avoidance.clear(hash);
	}

	async #askPeer(task: ChunkTask, plan: Plan, source: Extract<Source, {kind: 'peer'}>, state: FetchState): Promise<VerifiedChunk | undefined> {
		const {peers, link, crossRegionLink, metrics} = this.#options;
		const {hash, sizeBytes, signal} = task;
		if (state.waitingFor !== source.id) {
			state.waitingFor = source.id;
			state.waitingSince = this.#options.clock.monotonic();
		}

		const buckets = source.isCrossRegion ? [link, crossRegionLink] : [link];
		const answer = await peers.fetchChunk(source.address, {
			hash, sizeBytes, buckets, signal, mayYield: plan.hasSibling && !state.asksSibling, isRelay: plan.position === 0,
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
		this.#passOver(task, plan, {id: source.id, answer: answer.kind, waitedMs: this.#options.clock.monotonic() - state.waitingSince});
		if ('detail' in answer) {
			this.#options.log.info('A peer did not send a chunk; asking another one.', {
				peer: source.id, chunk: hash, answer: answer.kind, detail: answer.detail,
			});
		}

		return undefined;
	}

	/** Decides whether the source is asked again or passed over for a while. */
	#passOver({hash, manifest}: ChunkTask, {position}: Plan, {id, answer, waitedMs}: {
		readonly id: string;
		readonly answer: 'pending' | 'absent' | 'corrupt' | 'failed';
		readonly waitedMs: number;
	}): void {
		const {avoidance, random, metrics, balance} = this.#options;

		// Members at a later position wait longer, and chance spreads those at the same one.
		const spread = (1 + (Math.log2(position + 1) / 2)) * (0.75 + (random.next() / 2));
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
				if (waitedMs > ABSENT_TIMEOUT_MS * spread) {
					avoidance.avoid(id, AVOID_ABSENT_MS, manifest);
				}

				return;
			}

			case 'pending': {
				if (waitedMs > parentTimeoutMs(balance()) * spread) {
					avoidance.avoid(id, AVOID_STALLED_MS, hash);
				}
			}
		}
	}
}

const describeFailure = (result: Result<unknown, {readonly message: string}>): string => result.ok ? 'the bytes are corrupt' : result.val.message;
