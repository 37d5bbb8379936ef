/**
Assigns a source to each chunk. Each chunk has a binary tree over the members of a region, in rendezvous order.

The root of the tree is the relay of its region: it fetches the chunk from outside the region, from a member that has
the whole version, or from the origin. Every other member asks its parent in the tree.

A chunk is a part of a version addressed by its hash; a piece is the same part addressed by its index.
*/
import {rankByWeight} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';
import {otherHolders} from './other-holders.js';

/** Where a member fetches a chunk from. `isCrossRegion` tells whether the peer is in another region. */
export type Source = {readonly kind: 'origin'} | {readonly kind: 'peer'; readonly id: string; readonly address: string; readonly isCrossRegion: boolean};

/** Identifies the tree of a chunk. */
export type TreeKey = {
	/** Key of the rendezvous order. */
	readonly key: string;

	/** Whether the order is reversed, which makes the leaves of the other tree inner nodes of this one. */
	readonly isReversed: boolean;
};

export type PlanOptions = {
	readonly tree: TreeKey;

	/** Hash of the manifest. */
	readonly manifest: string;
	readonly selfId: string;

	/** Region of this member. */
	readonly region: string;

	/** Region of the origin. */
	readonly storeRegion: string;

	/** Members that hold or fetch the version, including this one. */
	readonly participants: readonly MemberRecord[];

	/** Whether the member with this id must not be asked now. */
	readonly isAvoided: (id: string) => boolean;

	/** Whether to ask the other child of the parent, because the parent is busy. */
	readonly asksSibling?: boolean;
};

/** Position of a chunk within its version. */
export type ChunkPosition = {
	readonly index: number;

	/** Hashes of all chunks of the version. */
	readonly chunks: readonly string[];
};

/** Chooses the source of a chunk for a member. */
export interface ChunkPlanner {
	readonly plan: (options: PlanOptions & ChunkPosition) => Plan;

	/** Members to ask when the planned source does not have the chunk, the most likely holders first. */
	readonly otherHolders: (options: PlanOptions & ChunkPosition) => readonly MemberRecord[];
}

export type Plan = {
	readonly source: Source;

	/** Position of this member in the order of its region for the chunk; the relay is at 0. */
	readonly position: number;

	/**
	Whether this member may ask the other child of a busy parent. Only second children may, because two siblings could
	wait for each other otherwise.
	*/
	readonly canAskSibling: boolean;
};

/**
Key of the tree of a chunk. Chunks at an even index and the one after it form a pair; their trees have opposite orders.

A member that sends two copies of one chunk of a pair sends none of the other, which spreads the uploads evenly. With
independent orders, over a hundred chunks and 32 members, one member sends a fifth more than the mean, and all others
wait for it.
*/
export const treeKeyOf = (chunks: readonly string[], index: number): TreeKey => ({key: chunks[index - (index % 2)], isReversed: index % 2 === 1});

/** Position of the parent in the binary tree; `undefined` for the root. */
export const parentPosition = (position: number): number | undefined => position === 0 ? undefined : Math.floor((position - 1) / 2);

/**
Lists the members that hold or fetch a version: this member and the live agents whose engine serves the same service.

A member that serves the version but does not hold its chunks is left out: it can send none and fetches none.
*/
export const listParticipants = (members: readonly MemberRecord[], {selfId, service, manifest}: {
	readonly selfId: string;
	readonly service: string;
	readonly manifest: string;
}): readonly MemberRecord[] => members.filter(({id, role, status, upstream}) => {
	if (id === selfId) {
		return true;
	}

	if (role !== 'agent' || status !== 'alive' || upstream?.kind !== 'engine' || upstream.service !== service) {
		return false;
	}

	return upstream.held.includes(manifest) || !upstream.served.some(served => served.manifest === manifest);
});

const orderFor = ({key, isReversed}: TreeKey, members: readonly MemberRecord[]): readonly string[] => {
	const order = rankByWeight(key, members.map(({id}) => id));
	return isReversed ? order.toReversed() : order;
};

const peerSource = (member: MemberRecord, region: string): Source => ({
	kind: 'peer', id: member.id, address: member.address, isCrossRegion: member.region !== region,
});

/** Chooses the source of a chunk for this member by the tree of the chunk. */
export const planSource = ({tree, manifest, selfId, region, storeRegion, participants, isAvoided, asksSibling = false}: PlanOptions): Plan => {
	const eligible = participants.filter(({id}) => id === selfId || !isAvoided(id));
	const byId = new Map(eligible.map(member => [member.id, member]));
	const orderOf = (members: readonly MemberRecord[]): readonly string[] => orderFor(tree, members);
	const local = eligible.filter(member => member.region === region || member.id === selfId);
	const order = orderOf(local);
	const position = order.indexOf(selfId);
	if (position > 0) {
		const canAskSibling = position % 2 === 0;
		const senderPosition = canAskSibling && asksSibling ? position - 1 : parentPosition(position)!;
		return {source: peerSource(byId.get(order[senderPosition])!, region), position, canAskSibling};
	}

	const isHolder = ({id, upstream}: MemberRecord): boolean => id !== selfId && (upstream?.held.includes(manifest) ?? false);
	const localHolders = local.filter(member => isHolder(member));
	const storeRegionMembers = region === storeRegion ? [] : eligible.filter(member => member.region === storeRegion);
	const candidates = localHolders.length > 0 ? localHolders : storeRegionMembers;
	const sourceId = orderOf(candidates).at(0);
	return {source: sourceId === undefined ? {kind: 'origin'} : peerSource(byId.get(sourceId)!, region), position, canAskSibling: false};
};

/** Plans with one tree for each chunk. */
export class TreePlanner implements ChunkPlanner {
	readonly plan = (options: PlanOptions): Plan => planSource(options);

	readonly otherHolders = ({selfId, participants, isAvoided, index, chunks}: PlanOptions & ChunkPosition): readonly MemberRecord[] => otherHolders({
		hash: chunks[index], selfId, participants, relays: new Set(), isAvoided,
	});
}
