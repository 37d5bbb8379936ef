/**
Assigns sources to chunks in small regions. Each chunk has one relay in each region: the member that fetches the chunk
from outside the region. All other members of the region fetch it from the relay.

With at least as many chunks as members, every member relays an equal share of the chunks, so all uplinks carry the same
load. The regions form a chain that begins at the origin's region. The relay of a region asks the relay of the previous
region, so each chunk crosses each boundary once and no region sends more than one copy to another.
*/
import {rankByWeight} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';
import {
	planSource, type ChunkPosition, type ChunkPlanner, type Plan, type PlanOptions, type Source,
} from './fetch-plan.js';
import {otherHolders} from './other-holders.js';

/** Largest number of cached assignments. Each change of the member list adds one. */
const MAX_CACHED_ASSIGNMENTS = 64;

const isHolder = ({upstream}: MemberRecord, manifest: string): boolean => upstream?.held.includes(manifest) ?? false;

/** Share of members that must hold a version before only they serve the others. With fewer, their uplinks would be too slow. */
const MIN_HOLDER_SHARE = 0.5;

/**
Number of failed members at which a whole region is skipped. Its link is then probably down or full, and each further
member would be asked until its time limit.
*/
const FAILED_MEMBER_LIMIT = 2;

/**
Ids of the members that may relay chunks in a region: the holders of the version if there are enough of them, otherwise
all members.
*/
const listRelayCandidates = (members: readonly MemberRecord[], region: string, manifest: string): readonly string[] => {
	const local = members.filter(member => member.region === region);
	const holders = local.filter(member => isHolder(member, manifest));
	return (holders.length > 0 && holders.length >= local.length * MIN_HOLDER_SHARE ? holders : local).map(({id}) => id);
};

/**
Assigns a relay to each chunk: the candidate that comes first in rendezvous order and has not reached its share yet.

Members with the same list of candidates compute the same assignment. If a candidate is missing, few other chunks change
their relay.
*/
export const assignRelays = (chunks: readonly string[], candidates: readonly string[]): readonly string[] => {
	const maxChunksPerRelay = Math.ceil(chunks.length / candidates.length);
	const counts = new Map<string, number>();
	return chunks.map(chunk => {
		const relay = rankByWeight(chunk, candidates).find(id => (counts.get(id) ?? 0) < maxChunksPerRelay)!;
		counts.set(relay, (counts.get(relay) ?? 0) + 1);
		return relay;
	});
};

/** Plans with relays, or with trees in a region that has more members than the version has chunks. Caches assignments. */
export class StarPlanner implements ChunkPlanner {
	readonly #assignments = new Map<string, readonly string[]>();

	readonly plan = (options: PlanOptions & ChunkPosition): Plan => {
		const {index, chunks, manifest, selfId, region, storeRegion, participants, isAvoided} = options;
		if (participants.filter(member => member.region === region).length > chunks.length) {
			return planSource(options);
		}

		const byId = new Map(participants.map(member => [member.id, member]));
		const relayIn = (relayRegion: string): string | undefined => {
			const candidates = listRelayCandidates(participants, relayRegion, manifest);
			if (candidates.length === 0) {
				return undefined;
			}

			const preferred = this.#assignedRelays(chunks, candidates)[index];
			const isEligible = (id: string): boolean => id === selfId || !isAvoided(id);
			return isEligible(preferred) ? preferred : rankByWeight(chunks[index], candidates).find(id => isEligible(id));
		};

		const sourceOf = (id: string): Source => ({
			kind: 'peer', id, address: byId.get(id)!.address, isCrossRegion: byId.get(id)!.region !== region,
		});
		const localRelay = relayIn(region);
		if (localRelay !== undefined && localRelay !== selfId) {
			return {source: sourceOf(localRelay), position: 1, canAskSibling: false};
		}

		const holderAmong = (members: readonly MemberRecord[]): string | undefined => rankByWeight(chunks[index], members
			.filter(member => member.id !== selfId && isHolder(member, manifest) && !isAvoided(member.id)).map(({id}) => id)).at(0);
		const regionChain = [storeRegion, ...[...new Set(participants.map(member => member.region))].filter(other => other !== storeRegion).sort()];
		for (const previousRegion of regionChain.slice(0, Math.max(0, regionChain.indexOf(region))).reverse()) {
			const candidates = listRelayCandidates(participants, previousRegion, manifest);
			if (candidates.filter(id => isAvoided(id)).length >= FAILED_MEMBER_LIMIT) {
				continue;
			}

			const relay = relayIn(previousRegion);
			if (relay !== undefined && relay !== selfId) {
				return {source: sourceOf(relay), position: 0, canAskSibling: false};
			}
		}

		// Reading from a holder saves the origin a copy, but with few holders it would be slower than the origin.
		const isWidelyHeld = participants.filter(member => isHolder(member, manifest)).length >= participants.length * MIN_HOLDER_SHARE;
		const holder = isWidelyHeld ? holderAmong(participants) : undefined;
		return {source: holder === undefined ? {kind: 'origin'} : sourceOf(holder), position: 0, canAskSibling: false};
	};

	readonly otherHolders = (options: PlanOptions & ChunkPosition): readonly MemberRecord[] => {
		const {index, chunks, manifest, selfId, participants, isAvoided} = options;
		const regions = new Set(participants.map(({region}) => region));
		const relays = [...regions].map(region => this.#assignedRelays(chunks, listRelayCandidates(participants, region, manifest))[index]);
		return otherHolders({
			hash: chunks[index], selfId, participants, relays: new Set(relays), isAvoided,
		});
	};

	#assignedRelays(chunks: readonly string[], candidates: readonly string[]): readonly string[] {
		const key = `${chunks[0]} ${[...candidates].sort().join(' ')}`;
		let relays = this.#assignments.get(key);
		if (!relays) {
			if (this.#assignments.size >= MAX_CACHED_ASSIGNMENTS) {
				this.#assignments.clear();
			}

			relays = assignRelays(chunks, candidates);
			this.#assignments.set(key, relays);
		}

		return relays;
	}
}
