/**
Fetches the pieces of a version: those that this member reads for its region at once, the others at a steady pace.

Load pattern: a rollout to VMs that serve streams over the same narrow link. The pace is just fast enough for this
member's turn to switch, so that live requests find the link free.
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
	readonly store: ChunkStore;
	readonly fetcher: ChunkFetcher;
	readonly selfId: string;

	/** Rate at which this member fetches the pieces that it passes on to nobody, in bytes per second. */
	readonly bytesPerSecond: (remainingBytes: number) => number;

	/** Called when the pieces are held that this member reads for its region. */
	readonly onRelayedPieces: () => void;

	/** Resolves when the other pieces may be fetched. */
	readonly waitForOtherTransfers: () => Promise<void>;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** Resolves when all pieces are held, or when the signal aborts. The manifest must be retained in the store. */
export const transferStaged = async ({staged, store, fetcher, selfId, bytesPerSecond, onRelayedPieces: onOwnPieces, waitForOtherTransfers: onTurn, clock, signal}: StagedTransferOptions): Promise<void> => {
	const {hash: manifest, manifest: {chunks, chunkBytes}} = staged;
	const fetchOne = async (index: number): Promise<void> => {
		const hash = chunks[index];
		const chunk = store.get(hash) ?? await fetcher.fetch({
			manifest, hash, tree: treeKeyOf(chunks, index), index, chunks, sizeBytes: chunkBytes, signal, originTurn: async () => undefined,
		});
		if (chunk) {
			store.put(chunk);
		}
	};

	// The plan is asked again and again: members that just started become known one by one.
	const pending = new Set(rotate([...chunks.keys()].filter(index => !store.has(chunks[index])), selfId));
	const pace = new TokenBucket({clock, bytesPerSecond: () => bytesPerSecond(pending.size * chunkBytes), burstMs: TRANSFER_BURST_MS});
	const isOwn = (index: number): boolean => fetcher.isReader({
		index, chunks, manifest, tree: treeKeyOf(chunks, index),
	});
	let own: ReadonlySet<number> = new Set();
	let plannedAt = Number.NEGATIVE_INFINITY;
	const takeNext = (wantsOwn: boolean): number | undefined => {
		const now = clock.monotonic();
		if (now - plannedAt >= PLAN_REFRESH_MS) {
			own = new Set([...pending].filter(index => isOwn(index)));
			plannedAt = now;
		}

		for (const index of pending) {
			if (own.has(index) === wantsOwn) {
				pending.delete(index);
				return index;
			}
		}

		return undefined;
	};

	let ownReads = 0;
	let hasToldOwn = false;
	const tellOwn = (): void => {
		if (ownReads === 0 && !hasToldOwn) {
			hasToldOwn = true;
			onOwnPieces();
		}
	};

	const readOwn = async (): Promise<void> => {
		while (pending.size > 0 && !signal.aborted) {
			const index = takeNext(true);
			if (index !== undefined) {
				ownReads++;
				await fetchOne(index);
				ownReads--;
				continue;
			}

			tellOwn();
			await clock.sleep(PLAN_REFRESH_MS, signal);
		}

		// A member that reads all pieces itself leaves the loop with the last of them.
		if (!signal.aborted) {
			tellOwn();
		}
	};

	const readOthers = async (): Promise<void> => {
		await onTurn();
		while (pending.size > 0 && !signal.aborted) {
			const index = takeNext(false);
			if (index === undefined) {
				await clock.sleep(PLAN_REFRESH_MS, signal);
				continue;
			}

			await pace.take(chunkBytes, signal);
			await fetchOne(index);
		}
	};

	await Promise.all([
		...Array.from({length: RELAY_FETCH_CONCURRENCY}, async () => readOwn()),
		...Array.from({length: PEER_FETCH_CONCURRENCY}, async () => readOthers()),
	]);
};

/** Members begin at different pieces, so that they do not ask the same reader at the same time. */
const rotate = (indices: readonly number[], selfId: string): readonly number[] => {
	let start = 0;
	for (const character of selfId) {
		start = ((start * 31) + character.codePointAt(0)!) % Math.max(1, indices.length);
	}

	return [...indices.slice(start), ...indices.slice(0, start)];
};
