import type {Stream} from 'most';

export type Role = 'entry' | 'agent';

export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A version of a model or adapter that a member's upstream serves. */
export type ServedVersion = {
	readonly name: string;
	readonly version: string;
	readonly manifest: string;
	readonly kind: 'model' | 'adapter';
};

/** The kind and state of an agent's upstream: whether it takes requests, and which versions it has. */
export type UpstreamSummary = {
	readonly kind: 'engine' | 'service';
	readonly service: string;
	readonly ready: boolean;

	/** Number of requests that the upstream runs at the same time. */
	readonly capacity: number;
	readonly served: readonly ServedVersion[];

	/** Manifests of which the member stores all chunks, so that it can send them to peers. */
	readonly held: readonly string[];
};

/**
State of one member, as the members exchange it.

Of two records the one with the higher incarnation is newer, then the one with the higher sequence, then the one with the higher status:
`alive`, `suspect`, `leaving`, `dead`.
*/
export type MemberRecord = {
	readonly id: string;
	readonly role: Role;

	/** Peer address, `IP:port`. */
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;

	/** Differs for each start of the process: its start time in milliseconds since the epoch, raised if an earlier process had a higher one. */
	readonly incarnation: number;

	/** Raised by the member with each change of its status or upstream. */
	readonly sequence: number;
	readonly status: MemberStatus;

	/** Revision of the configuration that the member applies; 0 before its first. */
	readonly revision: number;
	readonly upstream?: UpstreamSummary;
};

/** Changes that a process makes to its own record. */
export type MemberPatch = Partial<Pick<MemberRecord, 'status' | 'revision' | 'upstream'>>;

/** The members known to a process. */
export interface MemberTable {
	readonly self: MemberRecord;

	/** This process and all other known members, except those declared dead. */
	readonly members: readonly MemberRecord[];

	/** The record of a member, also of a dead one until it is dropped. */
	readonly find: (id: string) => MemberRecord | undefined;

	/** Each record that has changed, as it is after the change. */
	readonly changes: Stream<MemberRecord>;

	/** Changes the record of this process. The next messages send the change to other members. */
	readonly updateSelf: (patch: MemberPatch) => void;

	/** Highest configuration revision that any member is known to apply. */
	readonly highestRevision: number;
}
