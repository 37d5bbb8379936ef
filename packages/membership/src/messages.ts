/** Messages of the membership protocol as they travel in JSON-RPC. */
import type {MemberRecord, MemberStatus} from './types.js';

/** Version of a member without its description: `[id, incarnation, sequence, status, revision]`. */
export type Claim = readonly [id: string, incarnation: number, sequence: number, status: MemberStatus, revision: number];

/** Parameters and result of `membership.exchange`. */
export type ExchangeMessage = {
	/** Version of the sender. */
	readonly from: Claim;

	/** Highest configuration revision that the sender knows of. */
	readonly highest: number;

	/** Checksum of the sender's table; equal tables have equal checksums. */
	readonly checksum: number;
	readonly records: readonly MemberRecord[];
	readonly claims: readonly Claim[];

	/** Members whose records the sender lacks or has in an older version. */
	readonly wants: readonly string[];

	/** Asks for an answer without changes and comparisons. */
	readonly isBrief?: boolean;

	/** Asks for the records with ids after this one; the empty text asks for the first page. */
	readonly pageAfter?: string;
};

/** Result of `membership.ping`. */
export type PingAnswer = {readonly id: string; readonly incarnation: number};

export const claimOf = ({id, incarnation, sequence, status, revision}: MemberRecord): Claim => [id, incarnation, sequence, status, revision];

export const versionOf = ([, incarnation, sequence, status]: Claim): Pick<MemberRecord, 'incarnation' | 'sequence' | 'status'> => ({incarnation, sequence, status});

const sizes = new WeakMap<MemberRecord, number>();

/** Size of a record in a message, in bytes. */
export const recordBytes = (record: MemberRecord): number => {
	const known = sizes.get(record);
	if (known !== undefined) {
		return known;
	}

	const size = JSON.stringify(record).length + 1;
	sizes.set(record, size);
	return size;
};
