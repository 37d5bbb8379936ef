/**
Fetches the pieces of a version. This member relays some of them: it fetches them from outside its region and
redistributes them there. These pieces are fetched without a rate limit, all others at a limited rate.

Load pattern: a rollout to VMs that serve streams over the same narrow link. The rate is just high enough for the engine
to switch on time, which leaves the rest of the link to live requests.
*/
import type {Clock} from '@yuccawood/common';
import type {ChunkFetcher} from '../chunk-fetcher.js';
import type {ChunkStore} from '../chunk-store.js';
import {treeKeyOf} from '../fetch-plan.js';
import {TokenBucket} from '../token-bucket.js';
import {
	PEER_FETCH_CONCURRENCY, RELAY_FETCH_CONCURRENCY, TRANSFER_BURST_MS, PLAN_REFRESH_MS,
} from './constants.js';
import type {StagedManifest} from './staged-manifest.js';

export type StagedTransferOptions = {
	readonly staged: StagedManifest;
	readonly chunkStore: ChunkStore;
	readonly chunkFetcher: ChunkFetcher;
	readonly selfId: string;

	/** Rate at which this member fetches the pieces that it does not relay, in bytes per second. */
	readonly bytesPerSecond: (remainingBytes: number) => number;

	/** Called once, when all pieces that this member relays are held. */
	readonly onRelayedPieces: () => void;

	/** Resolves when the pieces that this member does not relay may be fetched. */
	readonly waitForOtherTransfers: () => Promise<void>;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** Resolves when all pieces are held, or when the signal aborts. The manifest must be retained in the chunkStore. */
export const transferStaged = async ({staged, chunkStore, chunkFetcher, selfId, bytesPerSecond, onRelayedPieces, waitForOtherTransfers, clock, signal}: StagedTransferOptions): Promise<void> => {
	const {hash: manifest, manifest: {chunks, chunkBytes}} = staged;
	/** @returns whether the piece is held */
	const fetchOne = async (index: number, canBePostponed: boolean): Promise<boolean> => {
		const hash = chunks[index];
		const chunk = chunkStore.get(hash) ?? await chunkFetcher.fetch({
			manifest, hash, tree: treeKeyOf(chunks, index), index, chunks, sizeBytes: chunkBytes, signal, waitForOriginRead: async () => undefined, canBePostponed,
		});
		if (chunk) {
			chunkStore.put(chunk);
		}

		return chunk !== undefined;
	};

	// The plan changes as members that have just started become known, so each piece is looked up in it again at intervals.
	const pending = new Set(rotate([...chunks.keys()].filter(index => !chunkStore.has(chunks[index])), selfId));
	const rateLimit = new TokenBucket({clock, bytesPerSecond: () => bytesPerSecond(pending.size * chunkBytes), burstMs: TRANSFER_BURST_MS});
	const isRelayed = (index: number): boolean => chunkFetcher.isRelay({
		index, chunks, manifest, tree: treeKeyOf(chunks, index),
	});
	let relayed: ReadonlySet<number> = new Set();
	let plannedAt = Number.NEGATIVE_INFINITY;
	const takeNext = (wantsRelayed: boolean): number | undefined => {
		const now = clock.monotonic();
		if (now - plannedAt >= PLAN_REFRESH_MS) {
			relayed = new Set([...pending].filter(index => isRelayed(index)));
			plannedAt = now;
		}

		for (const index of pending) {
			if (relayed.has(index) === wantsRelayed) {
				pending.delete(index);
				return index;
			}
		}

		return undefined;
	};

	let relayFetches = 0;
	let hasReported = false;
	const reportRelayedPieces = (): void => {
		if (relayFetches === 0 && !hasReported) {
			hasReported = true;
			onRelayedPieces();
		}
	};

	const fetchRelayed = async (): Promise<void> => {
		while (pending.size > 0 && !signal.aborted) {
			const index = takeNext(true);
			if (index !== undefined) {
				relayFetches++;
				await fetchOne(index, false);
				relayFetches--;
				continue;
			}

			reportRelayedPieces();
			await clock.sleep(PLAN_REFRESH_MS, signal);
		}

		// When this member relays all pieces, the loop ends right after the last one, without the report inside it.
		if (!signal.aborted) {
			reportRelayedPieces();
		}
	};

	const fetchOthers = async (): Promise<void> => {
		await waitForOtherTransfers();
		while (pending.size > 0 && !signal.aborted) {
			const index = takeNext(false);
			if (index === undefined) {
				await clock.sleep(PLAN_REFRESH_MS, signal);
				continue;
			}

			await rateLimit.take(chunkBytes, signal);
			if (!await fetchOne(index, true)) {
				// Its turn comes again after the pieces that may be there already.
				rateLimit.giveBack(chunkBytes);
				pending.add(index);
			}
		}
	};

	await Promise.all([
		...Array.from({length: RELAY_FETCH_CONCURRENCY}, async () => fetchRelayed()),
		...Array.from({length: PEER_FETCH_CONCURRENCY}, async () => fetchOthers()),
	]);
};

/** Lets members begin at different pieces, so that they do not ask the same relay at the same time. */
const rotate = (indices: readonly number[], selfId: string): readonly number[] => {
	let start = 0;
	for (const character of selfId) {
		start = ((start * 31) + character.codePointAt(0)!) % Math.max(1, indices.length);
	}

	return [...indices.slice(start), ...indices.slice(0, start)];
};
