/** Asks members that may hold a chunk although they are not its assigned source. */
import type {Clock, Metrics} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';
import type {AvoidedPeers} from './avoided-peers.js';
import {
	AVOID_CORRUPT_MS, AVOID_STALLED_MS, HOLDERS_PER_SEARCH, SEARCH_INTERVAL_MS,
} from './constants.js';
import type {PeerChunkClient} from './peer-chunk-client.js';
import type {TokenBucket} from './token-bucket.js';
import type {VerifiedChunk} from './verified-chunk.js';

export type HolderSearchOptions = {
	readonly peers: PeerChunkClient;
	readonly avoidance: AvoidedPeers;
	readonly clock: Clock;
	readonly metrics: Metrics;

	/** Region of this member. */
	readonly region: () => string;

	/** Rate limits of all received bytes, and of those from other regions. */
	readonly link: TokenBucket;
	readonly crossRegionLink: TokenBucket;
};

/** Number of members that were asked for a chunk, so that the next search goes on with others, and the earliest time of that search. */
export type SearchProgress = {asked: number; nextAt: number};

export class HolderSearch {
	readonly #options: HolderSearchOptions;

	constructor(options: HolderSearchOptions) {
		this.#options = options;
	}

	/** Asks the next {@link HOLDERS_PER_SEARCH} members, which answer at once. @returns the chunk, or undefined if none of them holds it or the last search was a short time ago */
	async search({hash, sizeBytes, holders, progress, signal}: {
		readonly hash: string;
		readonly sizeBytes: number;

		/** The most likely holders first. */
		readonly holders: readonly MemberRecord[];
		readonly progress: SearchProgress;
		readonly signal: AbortSignal;
	}): Promise<VerifiedChunk | undefined> {
		const {peers, avoidance, metrics, region, link, crossRegionLink, clock} = this.#options;
		if (clock.monotonic() < progress.nextAt) {
			return undefined;
		}

		progress.nextAt = clock.monotonic() + SEARCH_INTERVAL_MS;
		for (let left = Math.min(HOLDERS_PER_SEARCH, holders.length); left > 0 && !signal.aborted; left--) {
			const member = holders[progress.asked % holders.length];
			progress.asked++;
			const isCrossRegion = member.region !== region();
			const answer = await peers.fetchChunk(member.address, {
				hash, sizeBytes, buckets: isCrossRegion ? [link, crossRegionLink] : [link], signal, waitMs: 0, isRelay: true,
			});
			if (answer.kind === 'chunk') {
				metrics.count('weights.peer_bytes', {crossRegion: String(isCrossRegion)}, sizeBytes);
				metrics.count('weights.found_chunks');
				return answer.chunk;
			}

			if (answer.kind === 'corrupt' || answer.kind === 'failed') {
				avoidance.avoid(member.id, answer.kind === 'corrupt' ? AVOID_CORRUPT_MS : AVOID_STALLED_MS);
			}
		}

		return undefined;
	}
}
