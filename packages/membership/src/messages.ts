/** Messages of the membership protocol, sent as JSON-RPC parameters and results. */
import type {MemberRecord, MemberStatus} from './types.js';

/** What a process claims about a member: its version, without the description. `[id, incarnation, sequence, status, revision]`. */
export type Claim = readonly [id: string, incarnation: number, sequence: number, status: MemberStatus, revision: number];

/** Parameters and result of `membership.exchange`. */
export type ExchangeMessage = {
	/** The sender and its version. */
	readonly from: Claim;

	/** Highest configuration revision that the sender knows of. */
	readonly highest: number;

	/** Checksum of the sender's table; equal tables have equal checksums. See `recordChecksum`. */
	readonly checksum: number;
	readonly records: readonly MemberRecord[];
	readonly claims: readonly Claim[];

	/** Ids of members whose records the sender lacks or has in an older version. */
	readonly wants: readonly string[];

	/** Requests an answer without claims about recent changes and claims for comparison. */
	readonly isBrief?: boolean;

	/** Requests the page of records whose ids sort after this one; an empty string requests the first page. */
	readonly pageAfter?: string;
};

/** Result of `membership.ping`. */
export type PingAnswer = {readonly id: string; readonly incarnation: number};

export const claimOf = ({id, incarnation, sequence, status, revision}: MemberRecord): Claim => [id, incarnation, sequence, status, revision];

export const versionOf = ([, incarnation, sequence, status]: Claim): Pick<MemberRecord, 'incarnation' | 'sequence' | 'status'> => ({incarnation, sequence, status});

const sizes = new WeakMap<MemberRecord, number>();

/** Approximate size of a record in a message: the length of its JSON text plus a comma. Cached for each record. */
export const recordBytes = (record: MemberRecord): number => {
	const cached = sizes.get(record);
	if (cached !== undefined) {
		return cached;
	}

	const size = JSON.stringify(record).length + 1;
	sizes.set(record, size);
	return size;
};
