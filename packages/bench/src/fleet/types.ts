import type {Child} from './child.js';
import type {PlatformAddresses, VmPlace} from './settings-text.js';

/** A VM of the fleet: a daemon, and beside an agent its upstream. */
export type FleetVm = VmPlace & {
	readonly role: 'entry' | 'agent';
	readonly peer: string;

	/** Address for callers of an entry. */
	readonly callers: string | undefined;
	readonly upstreamAddress: string | undefined;
	daemon: Child;
	upstream: Child | undefined;
};

export type UpstreamOptions = {
	readonly kind: 'engine' | 'service';
	readonly service: string;
	readonly region?: string;
	readonly failureDomain?: string;
	readonly capacity?: number;
	readonly checksFencing?: boolean;

	/** More arguments of the stand-in. */
	readonly standInArgs?: readonly string[];
	readonly linkBytesPerSecond?: number;
	readonly crossRegionBytesPerSecond?: number;
};

export type FleetOptions = {
	/** Weights of the origin, in the form that the stand-in's command line takes. */
	readonly weights: readonly string[];
	readonly storeRegion?: string;
	readonly originLinkBytesPerSecond?: number;
	readonly originSeed?: string;
	readonly leaseTtlMs?: number;
	readonly vmListLagMs?: number;
	readonly logLevel?: string;

	/** Address under which the daemon of a VM reaches a part of the platform or its upstream, for example that of a relay. */
	readonly route?: (vm: string, part: keyof PlatformAddresses | 'upstream', address: string) => Promise<string>;
};
