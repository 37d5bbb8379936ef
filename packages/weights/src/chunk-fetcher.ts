/** Fetches single chunks from the sources that the planner assigns. Sources that fail are avoided for some time. */
import type {
	Clock, Log, Metrics, Random, Result,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import type {WeightOrigin} from '@yuccawood/interfaces';
import {
	AWAY_WAIT_MS, ORIGIN_PROBE_INTERVAL_MS, ORIGIN_RETRY_MS,
} from './constants.js';
import {avoidAfterFailure} from './avoid-after-failure.js';
import type {AvoidedPeers} from './avoided-peers.js';
import {
	listParticipants, type ChunkPosition, type ChunkPlanner, type Plan, type PlanOptions, type Source, type TreeKey,
} from './fetch-plan.js';
import {HolderSearch, type SearchProgress} from './holder-search.js';
import type {OriginState} from './origin-state.js';
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
	readonly originState: OriginState;
	readonly planner: ChunkPlanner;
	readonly peers: PeerChunkClient;
	readonly avoidance: AvoidedPeers;

	/** Rate limit of all received bytes. */
	readonly link: TokenBucket;

	/** Rate limit of bytes received from other regions. */
	readonly crossRegionLink: TokenBucket;

	/** Rate limit of bytes received from the origin. */
	readonly originLink: TokenBucket;

	/** Time for which a member that does not fetch a version is asked for its chunks, in milliseconds. */
	readonly absentTimeoutMs: number;

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

	/** Whether the fetch ends without the chunk when its source waits for an origin that is away, so that others can be fetched meanwhile. */
	readonly canBePostponed?: boolean;
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

	readonly search: SearchProgress;
	isPostponed: boolean;
};

/** What this member knows of the sources of a chunk. */
type SourceQuery = Pick<ChunkTask, 'hash' | 'tree' | 'manifest' | 'index' | 'chunks'>;

export class ChunkFetcher {
	readonly #options: ChunkFetcherOptions;
	readonly #holderSearch: HolderSearch;
	readonly #pendingRequests = new Map<string, number>();

	constructor(options: ChunkFetcherOptions) {
		this.#options = options;
		this.#holderSearch = new HolderSearch({...options, region: () => options.members.self.region});
	}

	/** Number of unanswered requests by source: the id of a member, or `origin`. */
	get awaited(): ReadonlyMap<string, number> {
		return this.#pendingRequests;
	}

	/** Tries sources until one returns a valid chunk. @returns the chunk, or `undefined` if the signal aborted or the fetch was postponed. */
	async fetch(task: ChunkTask): Promise<VerifiedChunk | undefined> {
		const {clock, avoidance, originState} = this.#options;
		const state: FetchState = {
			startedAt: clock.monotonic(), waitingSince: 0, originFailures: 0, asksSibling: false, search: {asked: 0, nextAt: Number.NEGATIVE_INFINITY}, isPostponed: false,
		};
		try {
			while (!task.signal.aborted && !state.isPostponed) {
				const plan = this.#plan(task, state);
				const isOriginFailing = plan.source.kind === 'origin' && originState.isFailing(task.manifest);
				const chunk = (isOriginFailing ? await this.#search(task, state) : undefined) ?? await this.#fetchFromSource(task, plan, state);
				if (chunk) {
					return chunk;
				}

				// A relay whose source lacks the chunk looks for it elsewhere: its whole region waits for it.
				if (plan.position === 0 && plan.source.kind === 'peer' && !task.signal.aborted) {
					const found = await this.#search(task, state);
					if (found) {
						return found;
					}
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

	/** Looks for the chunk at members that are not its source. @returns undefined if none of those that were asked holds it */
	async #search(task: ChunkTask, state: FetchState): Promise<VerifiedChunk | undefined> {
		const holders = this.#options.planner.otherHolders(this.#planOptions(task, state));
		return this.#holderSearch.search({...task, holders, progress: state.search});
	}

	#plan(query: SourceQuery, state: Pick<FetchState, 'asksSibling'>): Plan {
		return this.#options.planner.plan(this.#planOptions(query, state));
	}

	#planOptions({hash, tree, manifest, index, chunks}: SourceQuery, {asksSibling}: Pick<FetchState, 'asksSibling'>): PlanOptions & ChunkPosition {
		const {selfId, service, storeRegion, members, avoidance} = this.#options;
		return {
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
		};
	}

	async #fetchFromOrigin({hash, manifest, sizeBytes, waitForOriginRead: originTurn, signal}: ChunkTask, state: FetchState): Promise<VerifiedChunk | undefined> {
		const {origin, originState, link, originLink, clock, metrics, log} = this.#options;
		await originTurn();
		if (!originState.mayRead(manifest)) {
			await clock.sleep(ORIGIN_PROBE_INTERVAL_MS / 2, signal);
			return undefined;
		}

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
				originState.recordAnswer(manifest);
				return verified.val;
			}

			metrics.count('weights.corrupt_chunks', {source: 'origin'});
		} else {
			originState.recordFailure(manifest);
		}

		for (const bucket of [originLink, link]) {
			bucket.giveBack(sizeBytes);
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
		const {peers, originState, link, crossRegionLink, clock, metrics} = this.#options;
		const {hash, manifest, sizeBytes, signal, canBePostponed = false} = task;
		if (state.waitingForPeer !== source.id) {
			state.waitingForPeer = source.id;
			state.waitingSince = clock.monotonic();
		}

		const buckets = source.isCrossRegion ? [link, crossRegionLink] : [link];
		const answer = await peers.fetchChunk(source.address, {
			hash, sizeBytes, buckets, signal, acceptsBusy: plan.canAskSibling && !state.asksSibling, isRelay: plan.position === 0,
			...(canBePostponed && originState.isAway(manifest) && {waitMs: AWAY_WAIT_MS}),
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

		if (answer.kind === 'pending' && answer.isOriginAway) {
			// No other member would have it sooner, and at the origin's return each chunk should be read once.
			if (plan.position === 0) {
				originState.recordReport(manifest);
			}

			state.waitingSince = clock.monotonic();
			state.isPostponed = canBePostponed;
			return undefined;
		}

		state.asksSibling &&= answer.kind === 'pending';
		avoidAfterFailure(this.#options, {
			task, position: plan.position, id: source.id, answer: answer.kind, waitedMs: clock.monotonic() - state.waitingSince,
		});
		if ('detail' in answer) {
			this.#options.log.info('A peer did not send a chunk. Another source is asked.', {
				peer: source.id, chunk: hash, answer: answer.kind, detail: answer.detail,
			});
		}

		return undefined;
	}
}

const describeFailure = (result: Result<unknown, {readonly message: string}>): string => result.ok ? 'the bytes are corrupt' : result.val.message;
