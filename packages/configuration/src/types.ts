import type {Stream} from 'most';

/** A model or an adapter, with the version of it that the VMs must run. */
export type ModelConfiguration = {
	readonly name: string;
	readonly kind: 'model' | 'adapter';
	readonly version: string;

	/** SHA-256 of the manifest, 64 hexadecimal digits. */
	readonly manifest: string;

	/** For an adapter, the name of the model that it extends. */
	readonly base?: string;

	/** Share of the model's VMs that may switch versions at the same time, above 0 and up to 1. */
	readonly maxSwitchingShare: number;
};

export type RouteConfiguration = {
	readonly name: string;

	/** Prefix of the request path. */
	readonly path: string;
	readonly target: {readonly kind: 'model'; readonly models: readonly string[]} | {readonly kind: 'service'; readonly service: string};
	/** Methods whose requests may be run again after a failure. */
	readonly repeatableMethods: readonly string[];

	/** Time to the deadline of a request, in milliseconds. */
	readonly deadlineMs: number;

	/** Largest request body, in bytes. */
	readonly maxBodyBytes: number;
};

export type AccountConfiguration = {
	readonly name: string;

	/** SHA-256 of the account's bearer key, 64 hexadecimal digits. */
	readonly key: string;

	/** Limit over all entries. */
	readonly requestsPerSecond: number;

	/** Limit of requests in progress over all entries. */
	readonly concurrent: number;

	/** 0 is the least urgent, 9 the most. */
	readonly priority: number;
};

export type VmConfiguration = {
	readonly id: string;
	readonly role: 'serve' | 'drain';
};

export type RolloutConfiguration = {
	/** Trade-off of a rollout, from 0 (fewest bytes from the origin) to 1 (shortest time). */
	readonly balance: number;
};

/** Content of a document without faults. */
export type Configuration = {
	readonly models: readonly ModelConfiguration[];
	readonly routes: readonly RouteConfiguration[];
	readonly accounts: readonly AccountConfiguration[];
	readonly vms: readonly VmConfiguration[];
	readonly rollout: RolloutConfiguration;
};

/** The configuration that a process uses at present, with its revision. */
export type ConfigurationInForce = {
	/** Starts at 1 and increases by one with each accepted edit. */
	readonly revision: number;
	readonly configuration: Configuration;
};

/** Gives the configuration in force and its changes. */
export interface ConfigurationSource {
	readonly current: ConfigurationInForce | undefined;

	/** Configurations as they come into force, in ascending order of revision. */
	readonly changes: Stream<ConfigurationInForce>;
}

/** Text of one section as its owners wrote it, without the header line. */
export type SectionText = {
	readonly text: string;

	/** Revision of the document in which this section last changed. */
	readonly revision: number;
};

/** Sections by name. */
export type Sections = Readonly<Record<string, SectionText>>;

/** A whole document at one revision. */
export type Snapshot = {
	readonly revision: number;
	readonly sections: Sections;
};

/** A change of one section. */
export type Edit = {
	/** Unique id, by which the writer finds its edit in the audit entries when the response to the write was lost. */
	readonly editId: string;
	readonly author: string;
	readonly team: string;
	readonly section: string;

	/** Revision of the section on which the author based the edit; 0 when the section did not exist. */
	readonly baseRevision: number;

	/** New text, with or without the header line; absent to remove the section. */
	readonly text?: string;
};

/** Record of one accepted edit. The section `*` stands for the whole first document. */
export type AuditEntry = Edit & {
	readonly revision: number;

	/** Wall-clock time of the writer in milliseconds since the epoch. */
	readonly time: number;
};

/** Value of the head key: the document and its newest audit entries. */
export type Head = Snapshot & {
	/** Newest audit entries, one for each revision, in ascending order. */
	readonly edits: readonly AuditEntry[];

	/** Lowest revision whose audit entry is not archived: it is in `edits`, or the next to be added there. */
	readonly floor: number;

	/** First revision in the newest archive, which completes its key; each archive refers to the preceding one. */
	readonly lastArchive?: number;
};
