/** INI settings of the processes of a test fleet. */

export type VmPlace = {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
};

export type PlatformAddresses = {
	readonly keyValue: string;
	readonly origin: string;
	readonly vmList: string;
};

type Lines = Readonly<Record<string, Readonly<Record<string, string | number | undefined>>>>;

const toIni = (sections: Lines): string => Object.entries(sections)
	.map(([name, keys]) => {
		const lines = Object.entries(keys).filter(([, value]) => value !== undefined).map(([key, value]) => `${key} = ${value}`);
		return [`[${name}]`, ...lines, ''].join('\n');
	})
	.join('\n');

type SharedOptions = {
	readonly place: VmPlace;
	readonly listen: string;
	readonly seeds: readonly string[];
	readonly platform: PlatformAddresses;
	readonly leaseTtlMs?: number;
	readonly logLevel?: string;
};

const sharedSections = (role: string, {place, listen, seeds, platform, leaseTtlMs, logLevel = 'info'}: SharedOptions): Lines => ({
	process: {
		role, id: place.id, region: place.region, failure_domain: place.failureDomain,
	},
	peer: {listen, seeds: seeds.join(', ')},
	platform: {
		key_value: platform.keyValue, origin: platform.origin, vm_list: platform.vmList, lease_ttl_ms: leaseTtlMs,
	},
	log: {format: 'json', level: logLevel},
});

export const entrySettingsText = (options: SharedOptions & {readonly callers: string; readonly leaveGraceMs?: number}): string => toIni({
	...sharedSections('entry', options),
	entry: {listen: options.callers, leave_grace_ms: options.leaveGraceMs},
});

export const agentSettingsText = (options: SharedOptions & {
	readonly kind: 'engine' | 'service';
	readonly service: string;
	readonly upstream: string;
	readonly capacity: number;
	readonly checksFencing: boolean;
	readonly orderLock: string;
	readonly storeRegion: string;
	readonly linkBytesPerSecond?: number;
	readonly crossRegionBytesPerSecond?: number;
}): string => toIni({
	...sharedSections('agent', options),
	upstream: {
		kind: options.kind,
		service: options.service,
		address: options.upstream,
		capacity: options.capacity,
		checks_fencing: options.checksFencing ? 'yes' : 'no',
		order_lock: options.orderLock,
	},
	weights: {
		store_region: options.storeRegion,
		link_bytes_per_second: options.linkBytesPerSecond,
		cross_region_bytes_per_second: options.crossRegionBytesPerSecond,
	},
});
