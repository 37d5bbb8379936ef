import type {Stream} from 'most';

export type Role = 'entry' | 'agent';

export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A version of a model or adapter that a member's upstream answers with. */
export type ServedVersion = {
	readonly name: string;
	readonly version: string;
	readonly manifest: string;
	readonly kind: 'model' | 'adapter';
};

/** What an agent's upstream is and whether it takes work. */
export type UpstreamSummary = {
	readonly kind: 'engine' | 'service';
	readonly service: string;
	readonly ready: boolean;

	/** Requests that the upstream runs at the same time. */
	readonly capacity: number;
	readonly served: readonly ServedVersion[];

	/** Manifests whose chunks the member holds in full, so that it can send them to peers. */
	readonly held: readonly string[];
};

/** What members tell each other about one member. Higher incarnation, then higher sequence, wins. */
export type MemberRecord = {
	readonly id: string;
	readonly role: Role;

	/** Peer address, `IP:port`. */
	readonly address: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly incarnation: number;
	readonly sequence: number;
	readonly status: MemberStatus;

	/** Revision of the configuration that the member has in force; 0 before the first. */
	readonly revision: number;
	readonly upstream?: UpstreamSummary;
};

export type MemberPatch = Partial<Pick<MemberRecord, 'status' | 'revision' | 'upstream'>>;

/** The members that a process knows. */
export interface MemberTable {
	readonly self: MemberRecord;

	/** All known members except those declared dead, this process included. */
	readonly members: readonly MemberRecord[];
	readonly find: (id: string) => MemberRecord | undefined;

	/** Records that changed, after the change. */
	readonly changes: Stream<MemberRecord>;

	/** Changes this process's own record and tells others with the next messages. */
	readonly updateSelf: (patch: MemberPatch) => void;

	/** Highest configuration revision that any member is known to have. */
	readonly highestRevision: number;
}
