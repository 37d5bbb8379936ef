import type {MemberRecord} from '@yuccawood/membership';

/** Validated settings that entries and agents have in common. */
export type ProcessSettings = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;

	/** Longest time that a planned stop waits for requests in progress. */
	readonly stopLimitMs: number;
	readonly peer: {readonly listen: string; readonly seeds: readonly string[]};
	readonly platform: {readonly keyValue: string; readonly vmList: string | undefined; readonly leaseTtlMs: number};
	readonly log: {readonly format: 'json' | 'text'; readonly level: 'debug' | 'info' | 'warn' | 'error'};
	readonly metrics: {readonly statsd: string | undefined};
};

export type EntrySettings = ProcessSettings & {
	readonly role: 'entry';
	readonly entry: {readonly listen: string; readonly leaveGraceMs: number};
};

/** Upstream of an agent. */
export type UpstreamSettings = {
	readonly kind: 'engine' | 'service';

	/** Name of the model or of the plain service. */
	readonly service: string;
	readonly address: string;

	/** Requests that the upstream runs at the same time. */
	readonly capacity: number;

	/** True if the engine refuses orders with an old fencing number. */
	readonly checksFencing: boolean;

	/** Loopback address that only one agent of the VM can bind; needed if `checksFencing` is false. */
	readonly orderLock: string | undefined;
};

/** Source of weights, and rates at which they may be transferred. */
export type WeightSettings = {
	readonly origin: string;

	/** Region of the origin. */
	readonly storeRegion: string;

	/** Rate of the VM's link. */
	readonly linkBytesPerSecond: number;

	/** Rate between two regions, which all VMs of a region share. */
	readonly crossRegionBytesPerSecond: number;
};

export type AgentSettings = ProcessSettings & {
	readonly role: 'agent';
	readonly upstream: UpstreamSettings;

	/** Undefined if the upstream is a plain service. */
	readonly weights: WeightSettings | undefined;
};

/** Settings of a process, by its role. */
export type Settings = EntrySettings | AgentSettings;

/** Answer of `status.report`. */
export type StatusReport = {
	readonly id: string;
	readonly role: 'entry' | 'agent';
	readonly phase: string;

	/** Revision of the configuration in force; 0 if there is none. */
	readonly revision: number;
	readonly members: readonly MemberRecord[];
	readonly counters: Readonly<Record<string, number>>;
	readonly residentBytes: number;

	/** User and system CPU time since the start. */
	readonly cpuSeconds: number;

	/** Bytes of control messages sent and received since the start. */
	readonly controlBytes: number;
};
