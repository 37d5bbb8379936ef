/**
Assignment of chunk sources for small regions: each chunk has one reader in each region, and all other members of the
region ask that reader directly.

With at least as many chunks as members, every member reads its share of the chunks and sends them to all others, so
that all uplinks carry the same load. Regions form a chain from the origin's region on: a reader asks the reader of the
region before its own, so that a chunk crosses each boundary once and no region sends more than one copy to another.
*/
import {rank} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';
import {
	planSource, type ChunkPlace, type ChunkPlanner, type Plan, type PlanOptions, type Source,
} from './fetch-plan.js';

/** Assignments that are remembered; each change of the member list makes a new one. */
const MAX_KNOWN = 64;

const isHolder = ({upstream}: MemberRecord, manifest: string): boolean => upstream?.held.includes(manifest) ?? false;

/** Share of a region's members that must hold a version before they alone serve the others: fewer uplinks would be too slow. */
const HOLDER_SHARE = 0.5;

/**
Members of a region that failed, from which on the region is passed over: its link is down or full. Asking all of them in
turn would take a time limit each.
*/
const FAILED_READERS = 2;

/** Members that may read for a region: those that hold the version already, if they are many, or else all. */
const candidatesOf = (members: readonly MemberRecord[], region: string, manifest: string): readonly string[] => {
	const local = members.filter(member => member.region === region);
	const holders = local.filter(member => isHolder(member, manifest));
	return (holders.length > 0 && holders.length >= local.length * HOLDER_SHARE ? holders : local).map(({id}) => id);
};

/**
Readers of the chunks among the candidates: the highest in rendezvous order that has not got its full share yet.

Members that see the same candidates get the same assignment; one that is missing changes few others.
*/
export const assignReaders = (chunks: readonly string[], candidates: readonly string[]): readonly string[] => {
	const share = Math.ceil(chunks.length / candidates.length);
	const counts = new Map<string, number>();
	return chunks.map(chunk => {
		const reader = rank(chunk, candidates).find(id => (counts.get(id) ?? 0) < share)!;
		counts.set(reader, (counts.get(reader) ?? 0) + 1);
		return reader;
	});
};

/** Plans by readers, and by trees in a region with more members than there are chunks. Remembers recent assignments. */
export class StarPlanner implements ChunkPlanner {
	readonly #known = new Map<string, readonly string[]>();

	readonly plan = (options: PlanOptions & ChunkPlace): Plan => {
		const {index, chunks, manifest, selfId, region, storeRegion, participants, isAvoided} = options;
		if (participants.filter(member => member.region === region).length > chunks.length) {
			return planSource(options);
		}

		const byId = new Map(participants.map(member => [member.id, member]));
		const readerIn = (other: string): string | undefined => {
			const candidates = candidatesOf(participants, other, manifest);
			if (candidates.length === 0) {
				return undefined;
			}

			const preferred = this.#readers(chunks, candidates)[index];
			const isUsable = (id: string): boolean => id === selfId || !isAvoided(id);
			return isUsable(preferred) ? preferred : rank(chunks[index], candidates).find(id => isUsable(id));
		};

		const sourceOf = (id: string): Source => ({
			kind: 'peer', id, address: byId.get(id)!.address, isCrossRegion: byId.get(id)!.region !== region,
		});
		const local = readerIn(region);
		if (local !== undefined && local !== selfId) {
			return {source: sourceOf(local), position: 1, hasSibling: false};
		}

		const holderAmong = (members: readonly MemberRecord[]): string | undefined => rank(chunks[index], members
			.filter(member => member.id !== selfId && isHolder(member, manifest) && !isAvoided(member.id)).map(({id}) => id)).at(0);
		const chain = [storeRegion, ...[...new Set(participants.map(member => member.region))].filter(other => other !== storeRegion).sort()];
		for (const before of chain.slice(0, Math.max(0, chain.indexOf(region))).reverse()) {
			const candidates = candidatesOf(participants, before, manifest);
			if (candidates.filter(id => isAvoided(id)).length >= FAILED_READERS) {
				continue;
			}

			const reader = readerIn(before);
			if (reader !== undefined && reader !== selfId) {
				return {source: sourceOf(reader), position: 0, hasSibling: false};
			}
		}

		// Holders spare the origin a copy, but a few of them would be slower than the origin.
		const isWidelyHeld = participants.filter(member => isHolder(member, manifest)).length >= participants.length * HOLDER_SHARE;
		const holder = isWidelyHeld ? holderAmong(participants) : undefined;
		return {source: holder === undefined ? {kind: 'origin'} : sourceOf(holder), position: 0, hasSibling: false};
	};

	#readers(chunks: readonly string[], candidates: readonly string[]): readonly string[] {
		const key = `${chunks[0]} ${[...candidates].sort().join(' ')}`;
		let readers = this.#known.get(key);
		if (!readers) {
			if (this.#known.size >= MAX_KNOWN) {
				this.#known.clear();
			}

			readers = assignReaders(chunks, candidates);
			this.#known.set(key, readers);
		}

		return readers;
	}
}
