/** Assignment of chunk sources: a binary tree for each chunk over the members of a region, in rendezvous order. */
import {rank} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';

/** Where a member fetches a chunk from. */
export type Source = {readonly kind: 'origin'} | {readonly kind: 'peer'; readonly id: string; readonly address: string; readonly isCrossRegion: boolean};

/** Key of the rendezvous order of a chunk's tree. */
export type TreeKey = {
	readonly key: string;

	/** The reversed order turns the leaves of the tree into senders. */
	readonly isReversed: boolean;
};

export type PlanOptions = {
	readonly tree: TreeKey;
	readonly manifest: string;
	readonly selfId: string;
	readonly region: string;
	readonly storeRegion: string;

	/** Members that take part in the version, this one included. */
	readonly participants: readonly MemberRecord[];

	/** Members that are passed over for now. */
	readonly isAvoided: (id: string) => boolean;

	/** Asks the parent's other child, because the parent is busy. */
	readonly asksSibling?: boolean;
};

/** Where a chunk stands among all chunks of its version. */
export type ChunkPlace = {
	readonly index: number;

	/** Hashes of all chunks. */
	readonly chunks: readonly string[];
};

/** Chooses the source of a chunk for a member. */
export interface ChunkPlanner {
	readonly plan: (options: PlanOptions & ChunkPlace) => Plan;
}

export type Plan = {
	readonly source: Source;

	/** Position of this member in its region's order for the chunk. */
	readonly position: number;

	/** Whether a busy parent may send this member to its other child. Only the second child, so that no cycle arises. */
	readonly hasSibling: boolean;
};

/**
Trees of the chunks of a version. Chunks come in pairs whose trees have opposite orders.

A member that sends two copies of one chunk of a pair sends none of the other. With an order of its own for each chunk,
some member of 32 sends a fifth more than the mean over a hundred chunks, and all members wait for it.
*/
export const treeKeyOf = (chunks: readonly string[], index: number): TreeKey => ({key: chunks[index - (index % 2)], isReversed: index % 2 === 1});

/** Position of the parent in the binary tree; the root has none. */
export const parentPosition = (position: number): number | undefined => position === 0 ? undefined : Math.floor((position - 1) / 2);

/**
Members that hold or fetch a version: live agents of the service's engines.

A member that answers with the version but does not hold its chunks has nothing to send and nothing to fetch.
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
	const order = rank(key, members.map(({id}) => id));
	return isReversed ? order.toReversed() : order;
};

const peerSource = (member: MemberRecord, region: string): Source => ({
	kind: 'peer', id: member.id, address: member.address, isCrossRegion: member.region !== region,
});

/** Chooses the source of a chunk for this member. */
export const planSource = ({tree, manifest, selfId, region, storeRegion, participants, isAvoided, asksSibling = false}: PlanOptions): Plan => {
	const usable = participants.filter(({id}) => id === selfId || !isAvoided(id));
	const byId = new Map(usable.map(member => [member.id, member]));
	const orderOf = (members: readonly MemberRecord[]): readonly string[] => orderFor(tree, members);
	const local = usable.filter(member => member.region === region || member.id === selfId);
	const order = orderOf(local);
	const position = order.indexOf(selfId);
	if (position > 0) {
		const hasSibling = position % 2 === 0;
		const sender = hasSibling && asksSibling ? position - 1 : parentPosition(position)!;
		return {source: peerSource(byId.get(order[sender])!, region), position, hasSibling};
	}

	const isHolder = ({id, upstream}: MemberRecord): boolean => id !== selfId && (upstream?.held.includes(manifest) ?? false);
	const localHolders = local.filter(member => isHolder(member));
	const remote = region === storeRegion ? [] : usable.filter(member => member.region === storeRegion);
	const candidates = localHolders.length > 0 ? localHolders : remote;
	const first = orderOf(candidates).at(0);
	return {source: first === undefined ? {kind: 'origin'} : peerSource(byId.get(first)!, region), position, hasSibling: false};
};

/** Plans by one tree for each chunk. */
export class TreePlanner implements ChunkPlanner {
	readonly plan = (options: PlanOptions): Plan => planSource(options);
}
