/** The system under a soak run: a fleet of processes, and relays on the paths that can go silent. */
import type {LogEntry} from '@yuccawood/stand-ins';
import {request} from 'undici';
import {Fleet, type FleetVm} from '../fleet/fleet.js';
import {readLog} from '../fleet/stand-in-control.js';
import type {StandInLog} from './evidence.js';
import {
	MODEL, PLANS, SERVICE, STORE_REGION, versionsOf, type SoakPlan, type SoakSize, type SoakVersion,
} from './plan.js';
import {TcpRelay} from './tcp-relay.js';

/** Short, so that leases lapse within the time that a process is frozen. */
const LEASE_TTL_MS = 3000;
const TOKEN_INTERVAL_MS = 4;
const ENGINE_CAPACITY = 8;
const START_LIMIT_MS = 40_000;

export class SoakSystem {
	readonly fleet: Fleet;
	readonly plan: SoakPlan;
	readonly versions: readonly SoakVersion[];
	readonly #relays = new Map<string, TcpRelay>();
	readonly #entryAddresses = new Map<string, string>();

	constructor({seed, size}: {readonly seed: string; readonly size: SoakSize}) {
		this.plan = PLANS[size];
		this.versions = versionsOf(seed, this.plan);
		this.fleet = new Fleet({
			weights: this.versions.map(({argument}) => argument),
			storeRegion: STORE_REGION,
			originLinkBytesPerSecond: this.plan.linkBytesPerSecond,
			originSeed: seed,
			leaseTtlMs: LEASE_TTL_MS,
			route: async (vm, part, address) => part === 'keyValue' || part === 'upstream' ? this.#relayTo(`${part}/${vm}`, address) : address,
		});
	}

	/** Addresses for callers by entry; each leads through a relay. */
	get entryAddresses(): readonly string[] {
		return [...this.#entryAddresses.values()];
	}

	/** Starts all processes. `prepare` runs once the platform is there. */
	async start(prepare: () => Promise<void>): Promise<void> {
		await this.fleet.start();
		await prepare();
		for (const {id, region} of this.plan.entries) {
			const {callers} = await this.fleet.addEntry(id, {region});
			this.#entryAddresses.set(id, await this.#relayTo(`callers/${id}`, callers!));
		}

		for (const {id, region, checksFencing} of this.plan.engines) {
			await this.fleet.addAgent(id, {
				kind: 'engine', service: MODEL, region, capacity: ENGINE_CAPACITY, checksFencing,
				standInArgs: ['--token-interval-ms', String(TOKEN_INTERVAL_MS)],
			});
		}

		for (const {id, region} of this.plan.services) {
			await this.fleet.addAgent(id, {
				kind: 'service', service: SERVICE, region, standInArgs: ['--work-ms', '10'],
			});
		}

		await this.showAllLive();
	}

	/** Waits until every process serves with the same revision and every agent is ready; with a manifest, until every engine answers with it. */
	async waitUntilReady({limitMs = START_LIMIT_MS, manifest}: {readonly limitMs?: number; readonly manifest?: string} = {}): Promise<void> {
		let revision = 0;
		await this.fleet.waitForAll('every process to serve with the newest configuration', report => {
			revision = Math.max(revision, report.revision);
			const ready = report.members.filter(({upstream}) => upstream?.ready && (
				manifest === undefined || upstream.kind === 'service' || upstream.served.some(served => served.manifest === manifest)
			));
			return report.phase === 'serving' && report.revision > 0 && report.revision === revision && ready.length === this.fleet.agents.length;
		}, limitMs);
	}

	relay(path: 'keyValue' | 'upstream' | 'callers', vm: string): TcpRelay {
		const relay = this.#relays.get(`${path}/${vm}`);
		if (!relay) {
			throw new Error(`No relay for ${path} of ${vm}.`);
		}

		return relay;
	}

	/** Breaks all silent connections, so that earlier faults have no further effect. */
	cutSilent(): void {
		for (const relay of this.#relays.values()) {
			relay.cutSilent();
		}
	}

	async showAllLive(leaving?: string): Promise<void> {
		const vms = [...this.fleet.vms.keys()].map(id => ({id, state: id === leaving ? 'leaving' : 'live'}));
		const {body} = await request(`http://${this.fleet.platform.vmList}/vms`, {method: 'PUT', body: JSON.stringify(vms)});
		await body.dump();
	}

	async logs(): Promise<readonly StandInLog[]> {
		return Promise.all(this.fleet.agents.map(async ({id, upstreamAddress}) => ({
			name: id, kind: id.startsWith('engine') ? 'engine' as const : 'service' as const, entries: await readLog<LogEntry>(upstreamAddress!),
		})));
	}

	/** The last lines of a process, for reports. */
	linesOf({daemon}: FleetVm): readonly string[] {
		return daemon.lines.slice(-20);
	}

	async close(): Promise<void> {
		await this.fleet.close();
		await Promise.all([...this.#relays.values()].map(async relay => relay.close()));
	}

	async #relayTo(name: string, target: string): Promise<string> {
		const relay = new TcpRelay({target});
		this.#relays.set(name, relay);
		return relay.listen();
	}
}
