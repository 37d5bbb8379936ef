/** Runs agents in this process with stand-ins for the origin and the engines, and with a fake configuration and member table. */
import {
	MemoryMetrics, Ok, PeerServer, Publisher, seededRandom, type Result,
} from '@yuccawood/common';
import type {ConfigurationInForce, ConfigurationSource, ModelConfiguration} from '@yuccawood/configuration';
import type {MemberPatch, MemberRecord, MemberTable} from '@yuccawood/membership';
import {HttpModelEngine, HttpWeightOrigin} from '@yuccawood/interfaces';
import {
	createWeights, EngineStandIn, OriginStandIn, type EngineOptions, type GeneratedWeights, type WeightsOptions,
} from '@yuccawood/stand-ins';
import {TestLink} from './link-fixture.test.js';
import type {WeightSettings} from './types.js';
import {WeightManager} from './weight-manager.js';

export type Version = GeneratedWeights & Pick<WeightsOptions, 'name' | 'version' | 'kind' | 'base'>;

export const createVersion = ({version = 'v1', count = 24, chunkBytes = 20_000, ...options}: {
	readonly version?: string;
	readonly count?: number;
	readonly chunkBytes?: number;
	readonly name?: string;
	readonly kind?: 'adapter';
	readonly base?: string;
	readonly sharedChunks?: number;
} = {}): Version => {
	const fields = {
		seed: 1, name: 'kit', version, sizeBytes: (count * chunkBytes) - 7, chunkBytes, ...options,
	};
	return {...fields, ...createWeights(fields)};
};

export class FakeConfiguration implements ConfigurationSource {
	current: ConfigurationInForce | undefined;
	readonly #published = new Publisher<ConfigurationInForce>();

	get changes() {
		return this.#published.changes;
	}

	/** Publishes a configuration with these target versions. */
	set(versions: readonly Version[], {balance = 0.5, maxSwitchingShare = 1}: {readonly balance?: number; readonly maxSwitchingShare?: number} = {}): void {
		const models: readonly ModelConfiguration[] = versions.map(({hash, name, kind = 'model', version, base}) => ({
			name, kind, version, manifest: hash, maxSwitchingShare, ...(base && {base}),
		}));
		this.current = {
			revision: (this.current?.revision ?? 0) + 1, configuration: {
				models, routes: [], accounts: [], vms: [], rollout: {balance},
			},
		};
		this.#published.publish(this.current);
	}
}

export type TestAgent = {
	readonly id: string;
	readonly manager: WeightManager;
	readonly engine: EngineStandIn;
	readonly metrics: MemoryMetrics;
	readonly state: {fencing: Result<number, {readonly message: string}>};

	/** Stops the agent without a shutdown, as when its VM fails. `keepsEngine` leaves the engine running for another agent. */
	readonly kill: (options?: {readonly keepsEngine?: boolean}) => Promise<void>;
};

export type AgentOptions = {
	readonly region?: string;
	readonly engine?: EngineStandIn;
	readonly engineOptions?: EngineOptions;
};

/** Agents that see each other's member records without delay. Each link between them can be stalled or cut. */
export class TestFleet {
	readonly configuration = new FakeConfiguration();
	readonly origin: OriginStandIn;
	readonly agents: TestAgent[] = [];
	readonly #records = new Map<string, MemberRecord>();
	readonly #changed = new Publisher<MemberRecord>();
	readonly #links = new Map<string, {readonly link: TestLink; readonly address: string}>();
	readonly #engineAddresses = new Map<EngineStandIn, string>();
	#originAddress = '';

	constructor(private readonly settings: Partial<WeightSettings> = {}, {linkBytesPerSecond}: {readonly linkBytesPerSecond?: number} = {}) {
		this.origin = new OriginStandIn({linkBytesPerSecond});
	}

	async add(id: string, {region = 'west', engineOptions, engine = new EngineStandIn(engineOptions)}: AgentOptions = {}): Promise<TestAgent> {
		this.#originAddress ||= await this.origin.listen();
		const engineAddress = this.#engineAddresses.get(engine) ?? await engine.listen();
		this.#engineAddresses.set(engine, engineAddress);
		const server = new PeerServer();
		const metrics = new MemoryMetrics();
		const state: TestAgent['state'] = {fencing: Ok(1)};
		const record: MemberRecord = {
			id, role: 'agent', address: '127.0.0.1:1', region, failureDomain: region, incarnation: 1, sequence: 1, status: 'alive', revision: 1,
			upstream: {
				kind: 'engine', service: 'kit', ready: true, capacity: 4, served: [], held: [],
			},
		};
		this.#records.set(id, record);
		const adapters = {
			origin: new HttpWeightOrigin({address: await this.#linkTo('origin', this.#originAddress, region)}),
			engine: new HttpModelEngine({address: engineAddress}),
		};
		const manager = new WeightManager({
			...adapters, selfId: id, service: 'kit', members: this.#tableOf(id, region), configuration: this.configuration, fencing: () => state.fencing,
			peerServer: server, settings: {storeRegion: () => 'west', enginePollMs: 20, ...this.settings}, random: seededRandom(id), metrics,
		});
		const address = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
		for (const viewer of ['west', 'south']) {
			await this.#linkTo(id, address, viewer);
		}

		this.#update(id, {address});
		const controller = new AbortController();
		const done = manager.start(controller.signal);
		const agent: TestAgent = {
			id, manager, engine, metrics, state,
			kill: async ({keepsEngine = false} = {}) => {
				this.agents.splice(this.agents.indexOf(agent), 1);
				controller.abort();
				await Promise.all([server.close(), adapters.engine.close(), adapters.origin.close(), done]);
				this.#records.delete(id);
				if (!keepsEngine) {
					await engine.close();
				}
			},
		};
		this.agents.push(agent);
		return agent;
	}

	async addMany(count: number, options: AgentOptions = {}): Promise<void> {
		for (let i = 0; i < count; i++) {
			await this.add(`${options.region ?? 'west'}-${i}`, options);
		}
	}

	/** Adds a member record that belongs to none of the agents. */
	addForeign(record: MemberRecord): void {
		this.#records.set(record.id, record);
	}

	/** Adds versions to the origin and makes them the target versions. */
	rollOut(versions: readonly Version[], options?: Parameters<FakeConfiguration['set']>[1]): void {
		for (const version of versions) {
			this.origin.add(version);
		}

		this.configuration.set(versions, options);
	}

	/** Sets the state of the link through which members of one region reach an agent or the origin. */
	setLink(id: string, viewerRegion: string, mode: 'open' | 'stalled' | 'cut'): void {
		this.#links.get(`${id}/${viewerRegion}`)!.link.set(mode);
	}

	/** Bytes that the origin has sent of a version, in multiples of its size. */
	originCopies(version: Version): number {
		const served = version.chunks.reduce((sum, {hash}) => sum + (this.origin.served[`/chunks/${hash}`] ?? 0), 0);
		return served / version.chunks.reduce((sum, {data}) => sum + data.byteLength, 0);
	}

	/** Number of corrupt chunks that engines received. */
	get mismatches(): number {
		return this.agents.reduce((sum, {engine}) => sum + engine.log.filter(({event}) => event === 'chunk-mismatch').length, 0);
	}

	isServedByAll(version: Version): boolean {
		return this.agents.every(({manager}) => manager.serving.some(({manifest}) => manifest === version.hash));
	}

	async untilServed(version: Version, limitMs?: number): Promise<void> {
		await eventually(() => this.isServedByAll(version), `all agents serve ${version.version}`, limitMs);
	}

	async close(): Promise<void> {
		for (const {link} of this.#links.values()) {
			link.close();
		}

		await Promise.all([...this.agents].map(async agent => agent.kill()));
		await this.origin.close();
	}

	async #linkTo(id: string, target: string, viewerRegion: string): Promise<string> {
		const key = `${id}/${viewerRegion}`;
		const existing = this.#links.get(key);
		if (existing?.link.target === target) {
			return existing.address;
		}

		existing?.link.close();
		const link = new TestLink(target);
		const address = await link.listen();
		this.#links.set(key, {link, address});
		return address;
	}

	#update(id: string, patch: Partial<MemberRecord>): void {
		const record = this.#records.get(id);
		if (record) {
			const updated = {...record, ...patch, sequence: record.sequence + 1};
			this.#records.set(id, updated);
			this.#changed.publish(updated);
		}
	}

	#tableOf(id: string, region: string): MemberTable {
		const records = this.#records;
		const seen = (record: MemberRecord): MemberRecord => ({...record, address: this.#links.get(`${record.id}/${region}`)?.address ?? record.address});
		return {
			get self() {
				return records.get(id)!;
			},
			get members() {
				return [...records.values()].map(record => seen(record));
			},
			find: other => records.get(other),
			changes: this.#changed.changes,
			updateSelf: (patch: MemberPatch) => {
				this.#update(id, patch);
			},
			highestRevision: 1,
		};
	}
}

/** Waits until the condition holds; rejects after the limit. */
export const eventually = async (condition: () => boolean, subject: string, limitMs = 15_000): Promise<void> => {
	const deadline = Date.now() + limitMs;
	while (!condition()) {
		if (Date.now() > deadline) {
			throw new Error(`Not reached within ${limitMs} ms: ${subject}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
};
