import type {MemberRecord} from '@yuccawood/membership';

/** Checked settings of a process. */
export type ProcessSettings = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
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

export type UpstreamSettings = {
	readonly kind: 'engine' | 'service';
	readonly service: string;
	readonly address: string;
	readonly capacity: number;
	readonly checksFencing: boolean;
	readonly orderLock: string | undefined;
};

export type WeightSettings = {
	readonly origin: string;
	readonly storeRegion: string;
	readonly linkBytesPerSecond: number;
	readonly crossRegionBytesPerSecond: number;
};

export type AgentSettings = ProcessSettings & {
	readonly role: 'agent';
	readonly upstream: UpstreamSettings;

	/** Present when the upstream is an engine. */
	readonly weights: WeightSettings | undefined;
};

export type Settings = EntrySettings | AgentSettings;

/** What `status.report` answers. */
export type StatusReport = {
	readonly id: string;
	readonly role: 'entry' | 'agent';
	readonly phase: string;
	readonly revision: number;
	readonly members: readonly MemberRecord[];
	readonly counters: Readonly<Record<string, number>>;
	readonly residentBytes: number;
	readonly cpuSeconds: number;
	readonly controlBytes: number;
};
