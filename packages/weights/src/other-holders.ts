/**
Lists the members that may hold a chunk although they are not its assigned source.

Load pattern: relays that die, leave or restart while the origin is away. Their chunks are assigned to members that do not
hold them, whereas most other members, in any region, received them before.
*/
import {rankByWeight} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';

export type HolderSearch = {
	/** Hash of the chunk. */
	readonly hash: string;
	readonly selfId: string;

	/** Members that hold or fetch the version. */
	readonly participants: readonly MemberRecord[];

	/** Ids of the members that relay the chunk in their regions; they receive it first. */
	readonly relays: ReadonlySet<string>;

	/** Whether the member with this id must not be asked now. */
	readonly isAvoided: (id: string) => boolean;
};

/**
@returns the members to ask, the most likely holders first. The order of the others depends on the chunk and on this
member, so that searches for many chunks spread over the fleet.
*/
export const otherHolders = ({hash, selfId, participants, relays, isAvoided}: HolderSearch): readonly MemberRecord[] => {
	const byId = new Map(participants.filter(({id}) => id !== selfId && !isAvoided(id)).map(member => [member.id, member]));
	const ranked = rankByWeight(`${hash} ${selfId}`, [...byId.keys()]);
	return [...ranked.filter(id => relays.has(id)), ...ranked.filter(id => !relays.has(id))].map(id => byId.get(id)!);
};
