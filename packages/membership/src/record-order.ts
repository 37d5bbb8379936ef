/** Order and merge of member records. The merge is commutative, associative and idempotent, so all processes get the same table whatever the order of messages. */
import {rendezvousWeight} from '@yuccawood/common';
import type {MemberRecord, MemberStatus} from './types.js';

/** Fields that order two records of the same member. */
export type RecordVersion = Pick<MemberRecord, 'incarnation' | 'sequence' | 'status'>;

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
	alive: 0, suspect: 1, leaving: 2, dead: 3,
};

/**
Compares two versions of the same member by incarnation, then sequence, then status.

Only the member itself raises its sequence. Within one sequence, other members may only move the status up: `suspect`, `leaving`, `dead`.

@returns a positive number if `a` is newer, a negative one if `b` is, 0 for equal versions.
*/
export const compareVersions = (a: RecordVersion, b: RecordVersion): number =>
	a.incarnation - b.incarnation || a.sequence - b.sequence || STATUS_RANK[a.status] - STATUS_RANK[b.status];

/** The newer of two records of a member. Two records of the same incarnation give the higher of their revisions. */
export const mergeRecords = (known: MemberRecord, incoming: MemberRecord): MemberRecord => {
	const winner = compareVersions(incoming, known) > 0 ? incoming : known;
	if (incoming.incarnation !== known.incarnation) {
		return winner;
	}

	const revision = Math.max(known.revision, incoming.revision);
	return revision === winner.revision ? winner : {...winner, revision};
};

/** A record's contribution to the checksum of a table: an integer from 0 to 2^31 - 1. Dead members contribute 0, as if they were absent. */
export const recordChecksum = ({id, incarnation, sequence, status}: RecordVersion & Pick<MemberRecord, 'id'>): number =>
	status === 'dead' ? 0 : rendezvousWeight(id, `${incarnation} ${sequence} ${status}`) % CHECKSUM_LIMIT;

const CHECKSUM_LIMIT = 2 ** 31;
