import type {Stream} from 'most';

/** A version of a model or an adapter that the VMs must run. */
export type ModelConfiguration = {
	readonly name: string;
	readonly kind: 'model' | 'adapter';
	readonly version: string;

	/** SHA-256 of the manifest, 64 hexadecimal digits. */
	readonly manifest: string;

	/** For an adapter, the model it extends. */
	readonly base?: string;

	/** Share of the model's VMs that may switch versions at the same time, above 0 and up to 1. */
	readonly maxSwitchingShare: number;
};

export type RouteConfiguration = {
	readonly name: string;

	/** Prefix of the request path. */
	readonly path: string;
	readonly target: {readonly kind: 'model'; readonly models: readonly string[]} | {readonly kind: 'service'; readonly service: string};
	readonly repeatableMethods: readonly string[];
	readonly deadlineMs: number;
	readonly maxBodyBytes: number;
};

export type AccountConfiguration = {
	readonly name: string;

	/** SHA-256 of the account's bearer key, 64 hexadecimal digits. */
	readonly key: string;
	readonly requestsPerSecond: number;
	readonly concurrent: number;

	/** 0 is the least urgent, 9 the most. */
	readonly priority: number;
};

export type VmConfiguration = {
	readonly id: string;
	readonly role: 'serve' | 'drain';
};

export type RolloutConfiguration = {
	/** From 0 (fewest bytes from the origin) to 1 (shortest time). */
	readonly balance: number;
};

/** A checked document. */
export type Configuration = {
	readonly models: readonly ModelConfiguration[];
	readonly routes: readonly RouteConfiguration[];
	readonly accounts: readonly AccountConfiguration[];
	readonly vms: readonly VmConfiguration[];
	readonly rollout: RolloutConfiguration;
};

export type ConfigurationInForce = {
	/** Rises by one with each accepted edit; the first is 1. */
	readonly revision: number;
	readonly configuration: Configuration;
};

/** The configuration that a process has in force. */
export interface ConfigurationSource {
	readonly current: ConfigurationInForce | undefined;

	/** Configurations as they come into force, in rising order of revision. */
	readonly changes: Stream<ConfigurationInForce>;
}

/** One section as its owners wrote it, without its header line. */
export type SectionText = {
	readonly text: string;

	/** Revision of the document that last changed this section. */
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
	/** Unique; finds the edit again when the answer to its write was lost. */
	readonly editId: string;
	readonly author: string;
	readonly team: string;
	readonly section: string;

	/** Revision of the section that the author has read; 0 when it did not exist. */
	readonly baseRevision: number;

	/** New text without or with the header line; absent to remove the section. */
	readonly text?: string;
};

/** Record of one accepted edit. The section `*` stands for the whole first document. */
export type AuditEntry = Edit & {
	readonly revision: number;

	/** Wall-clock time of the writer in milliseconds since the epoch. */
	readonly time: number;
};

/** Value of the head key. */
export type Head = Snapshot & {
	/** Newest audit entries, one for each revision, in rising order. */
	readonly edits: readonly AuditEntry[];

	/** Lowest revision whose audit entry is in `edits` or still to come; older ones are in archive keys. */
	readonly floor: number;

	/** First revision of the newest archive key; each archive names the one before it. */
	readonly lastArchive?: number;
};
