/** A fleet of separate processes on loopback: stand-ins of the platform, entries, agents with their upstreams. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PeerClient, TypedError} from '@yuccawood/common';
import type {StatusReport} from '@yuccawood/daemon';
import {Child, programOf, waitUntil} from './child.js';
import {freeAddresses} from './ports.js';
import {
	agentSettingsText, entrySettingsText, type PlatformAddresses, type VmPlace,
} from './settings-text.js';
import type {FleetOptions, FleetVm, UpstreamOptions} from './types.js';

const MAX_SEEDS = 3;
const STATUS_TIMEOUT_MS = 1000;

export class Fleet {
	readonly vms = new Map<string, FleetVm>();
	readonly #options: FleetOptions;
	readonly #peers = new PeerClient();
	readonly #children = new Set<Child>();
	#directory = '';
	#platform: PlatformAddresses | undefined;
	#keyValue: Child | undefined;

	constructor(options: FleetOptions) {
		this.#options = options;
	}

	get platform(): PlatformAddresses {
		if (!this.#platform) {
			throw new TypedError({kind: 'not-started', detail: 'The platform stand-ins do not run.', remedy: 'Call start first.'});
		}

		return this.#platform;
	}

	get keyValueProcess(): Child | undefined {
		return this.#keyValue;
	}

	get entries(): readonly FleetVm[] {
		return [...this.vms.values()].filter(({role}) => role === 'entry');
	}

	get agents(): readonly FleetVm[] {
		return [...this.vms.values()].filter(({role}) => role === 'agent');
	}

	/** Starts the stand-ins of the platform. */
	async start(): Promise<void> {
		const {weights, originLinkBytesPerSecond, originSeed = 'origin', vmListLagMs = 0} = this.#options;
		this.#directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-'));
		const [keyValue, origin, vmList] = await freeAddresses(3);
		const linkArguments = originLinkBytesPerSecond === undefined ? [] : ['--link-bytes-per-second', String(originLinkBytesPerSecond)];
		this.#keyValue = this.#standIn('key-value', ['key-value', '--listen', keyValue]);
		const children = [
			this.#keyValue,
			this.#standIn('origin', ['origin', '--listen', origin, '--seed', originSeed, ...linkArguments, ...weights.flatMap(text => ['--weights', text])]),
			this.#standIn('vm-list', ['vm-list', '--listen', vmList, '--lag-ms', String(vmListLagMs)]),
		];
		await Promise.all(children.map(async child => waitForAddress(child)));
		this.#platform = {keyValue, origin, vmList};
	}

	async addEntry(id: string, {region = 'western', failureDomain = `${region}-a`}: {readonly region?: string; readonly failureDomain?: string} = {}): Promise<FleetVm> {
		const [peer, callers] = await freeAddresses(2);
		const place = {id, region, failureDomain};
		const platform = await this.#platformOf(id);
		await this.#writeSettings(id, entrySettingsText({...this.#shared(place, peer), platform, callers}));
		const vm: FleetVm = {
			...place, role: 'entry', peer, callers, upstreamAddress: undefined, daemon: this.#daemon(id), upstream: undefined,
		};
		this.vms.set(id, vm);
		return vm;
	}

	/** Starts an upstream and the agent beside it. */
	async addAgent(id: string, options: UpstreamOptions): Promise<FleetVm> {
		const {kind, service, region = 'western', failureDomain = `${region}-a`, capacity = 16, checksFencing = true, standInArgs: standInArguments = []} = options;
		const [peer, upstreamAddress, orderLock] = await freeAddresses(3);
		const place = {id, region, failureDomain};
		const upstream = this.#standIn(`${id}-upstream`, [kind, '--listen', upstreamAddress, ...upstreamArguments(options, capacity, checksFencing), ...standInArguments]);
		await waitForAddress(upstream);
		await this.#writeSettings(id, agentSettingsText({
			...this.#shared(place, peer), platform: await this.#platformOf(id), kind, service, upstream: await this.#route(id, 'upstream', upstreamAddress), capacity, checksFencing, orderLock,
			storeRegion: this.#options.storeRegion ?? 'western',
			linkBytesPerSecond: options.linkBytesPerSecond, crossRegionBytesPerSecond: options.crossRegionBytesPerSecond,
		}));
		const vm: FleetVm = {
			...place, role: 'agent', peer, callers: undefined, upstreamAddress, daemon: this.#daemon(id), upstream,
		};
		this.vms.set(id, vm);
		return vm;
	}

	/** Starts the daemon of a VM again with the same settings. */
	restartDaemon(id: string): void {
		const vm = this.find(id);
		vm.daemon = this.#daemon(id);
	}

	/** Starts the upstream of an agent again at the same address. */
	async restartUpstream(id: string): Promise<void> {
		const vm = this.find(id);
		const args = vm.upstream?.args ?? [];
		vm.upstream = this.#standIn(`${id}-upstream`, args);
		await waitForAddress(vm.upstream);
	}

	find(id: string): FleetVm {
		const vm = this.vms.get(id);
		if (!vm) {
			throw new TypedError({kind: 'unknown-vm', detail: `The fleet has no VM ${id}.`, remedy: 'Add it first.'});
		}

		return vm;
	}

	async status(id: string): Promise<StatusReport> {
		return this.#peers.call<StatusReport>(this.find(id).peer, 'status.report', {}, {timeoutMs: STATUS_TIMEOUT_MS, useNewConnection: true});
	}

	/** Runs the operators' command line to its end. */
	async operate(args: readonly string[], {team = 'platform', author = 'bench', file}: {
		readonly team?: string;
		readonly author?: string;

		/** Text that is written to a file whose path replaces the argument `FILE`. */
		readonly file?: string;
	} = {}): Promise<{readonly exitCode: number; readonly output: string}> {
		const filePath = path.join(this.#directory, `document-${Math.random().toString(36).slice(2)}.ini`);
		if (file !== undefined) {
			await writeFile(filePath, file);
		}

		const child = new Child({
			name: 'yuccawood',
			script: programOf('cli'),
			args: [...args.map(argument => argument === 'FILE' ? filePath : argument), '--key-value', this.platform.keyValue, '--team', team, '--author', author],
		});
		this.#children.add(child);
		await child.exited;
		this.#children.delete(child);
		return {exitCode: child.exitCode ?? -1, output: child.lines.join('\n')};
	}

	/** Waits until every agent and entry that runs reports the check as held. */
	async waitForAll(subject: string, check: (report: StatusReport, vm: FleetVm) => boolean, limitMs = 20_000): Promise<void> {
		await waitUntil(async () => {
			const running = [...this.vms.values()].filter(({daemon}) => daemon.isRunning);
			const results = await Promise.all(running.map(async vm => {
				try {
					return check(await this.status(vm.id), vm);
				} catch {
					return false;
				}
			}));
			return results.every(Boolean);
		}, {subject, limitMs, pauseMs: 100});
	}

	/** Ends all processes of the fleet at once. */
	async close(): Promise<void> {
		await Promise.all([...this.#children].map(async child => child.kill()));
		await this.#peers.close();
		if (this.#directory !== '') {
			await rm(this.#directory, {recursive: true, force: true});
		}
	}

	#shared(place: VmPlace, listen: string) {
		const seeds = [...this.vms.values()].slice(0, MAX_SEEDS).map(({peer}) => peer);
		const {leaseTtlMs, logLevel} = this.#options;
		return {
			place, listen, seeds, platform: this.platform, leaseTtlMs, logLevel,
		};
	}

	async #route(vm: string, part: keyof PlatformAddresses | 'upstream', address: string): Promise<string> {
		return await this.#options.route?.(vm, part, address) ?? address;
	}

	async #platformOf(vm: string): Promise<PlatformAddresses> {
		const {keyValue, origin, vmList} = this.platform;
		return {
			keyValue: await this.#route(vm, 'keyValue', keyValue),
			origin: await this.#route(vm, 'origin', origin),
			vmList: await this.#route(vm, 'vmList', vmList),
		};
	}

	#settingsFile(id: string): string {
		return path.join(this.#directory, `${id}.ini`);
	}

	async #writeSettings(id: string, text: string): Promise<void> {
		await writeFile(this.#settingsFile(id), text);
	}

	#daemon(id: string): Child {
		return this.#start({name: id, script: programOf('daemon'), args: ['--settings', this.#settingsFile(id)]});
	}

	#standIn(name: string, args: readonly string[]): Child {
		return this.#start({name, script: programOf('stand-ins'), args});
	}

	#start(options: ConstructorParameters<typeof Child>[0]): Child {
		const child = new Child(options);
		this.#children.add(child);
		return child;
	}
}

const upstreamArguments = ({kind, service}: UpstreamOptions, capacity: number, checksFencing: boolean): readonly string[] => {
	if (kind === 'service') {
		return ['--name', service];
	}

	return ['--capacity', String(capacity), ...checksFencing ? [] : ['--ignore-fencing']];
};

const waitForAddress = async (child: Child): Promise<void> => {
	await waitUntil(() => child.lines.some(line => line.includes('"address"')), {subject: `${child.name} to listen`});
};
