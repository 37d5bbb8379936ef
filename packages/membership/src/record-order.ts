/** Order and merge of member records. The merge is commutative, associative and idempotent, so any order of arrival gives the same table. */
import {score} from '@yuccawood/common';
import type {MemberRecord, MemberStatus} from './types.js';

/** The part of a record that orders it against others of the same member. */
export type RecordVersion = Pick<MemberRecord, 'incarnation' | 'sequence' | 'status'>;

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/**
@returns a positive number when `a` is newer, 0 for equal versions.

Within one sequence the statuses that other members may set rise from `suspect` to `dead`; only the member itself raises its sequence.
*/
export const compareVersions = (a: RecordVersion, b: RecordVersion): number =>
	a.incarnation - b.incarnation || a.sequence - b.sequence || STATUS_RANK[a.status] - STATUS_RANK[b.status];

/** The newer record, with the highest revision seen for its incarnation. */
export const mergeRecords = (known: MemberRecord, incoming: MemberRecord): MemberRecord => {
	const winner = compareVersions(incoming, known) > 0 ? incoming : known;
	if (incoming.incarnation !== known.incarnation) {
		return winner;
	}

	const revision = Math.max(known.revision, incoming.revision);
	return revision === winner.revision ? winner : {...winner, revision};
};

/** Part of a record in the checksum of a table, below 2^31. Dead members count as absent. */
export const checksumOf = ({id, incarnation, sequence, status}: RecordVersion & Pick<MemberRecord, 'id'>): number =>
	status === 'dead' ? 0 : score(id, `${incarnation} ${sequence} ${status}`) % CHECKSUM_LIMIT;

const CHECKSUM_LIMIT = 2 ** 31;
