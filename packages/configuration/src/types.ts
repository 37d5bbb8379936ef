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
