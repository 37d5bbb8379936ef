/** Agents in this process around in-memory fakes of the configuration and the member table. */
import {randomBytes} from 'node:crypto';
import {
	Err, MemoryMetrics, Ok, PeerServer, Publisher, seededRandom, sha256, type Result,
} from '@yuccawood/common';
import type {ConfigurationInForce, ConfigurationSource, ModelConfiguration} from '@yuccawood/configuration';
import type {MemberPatch, MemberRecord, MemberTable} from '@yuccawood/membership';
import {
	PlatformError, type EngineState, type LoadedVersion, type LoadOrder, type ModelEngine, type Order, type WeightOrigin,
} from '@yuccawood/platform';
import {from, type Stream} from 'most';
import {encodeManifest, type Manifest} from './manifest.js';
import type {WeightSettings} from './types.js';
import {WeightManager} from './weight-manager.js';

/** Stream of a publisher's items through the symbol that most looks for, which `Publisher.changes` does not set. */
const streamOf = <Item>(publisher: Publisher<Item>): Stream<Item> => {
	const observable = {
		subscribe(observer: {readonly next: (item: Item) => void}) {
			const unsubscribe = publisher.subscribe(item => {
				observer.next(item);
			});
			return {unsubscribe};
		},
		[(Symbol as unknown as {readonly observable: symbol}).observable]: () => observable,
	};
	return from(observable as unknown as readonly Item[]);
};

export type Version = {readonly hash: string; readonly bytes: Uint8Array; readonly manifest: Manifest; readonly chunks: ReadonlyMap<string, Uint8Array>};

/** A version of random weights; `shared` chunks come first. */
export const createVersion = ({name = 'kit', version = 'v1', kind = 'model', base, count = 8, chunkBytes = 20_000, shared = []}: {
	readonly name?: string;
	readonly version?: string;
	readonly kind?: 'model' | 'adapter';
	readonly base?: string;
	readonly count?: number;
	readonly chunkBytes?: number;
	readonly shared?: readonly Uint8Array[];
} = {}): Version => {
	const data = [...shared, ...Array.from({length: count - shared.length}, () => randomBytes(chunkBytes))];
	const hashes = data.map(chunk => sha256(chunk));
	const manifest: Manifest = {
		name, version, kind, ...(base && {base}), sizeBytes: count * chunkBytes, chunkBytes, chunks: hashes,
	};
	const bytes = encodeManifest(manifest);
	return {
		hash: sha256(bytes), bytes, manifest, chunks: new Map(data.map((chunk, index) => [hashes[index], chunk])),
	};
};

const missing = (): PlatformError => new PlatformError({kind: 'not-found', detail: 'No such object.', remedy: 'Upload it.'});
const unavailable = (): PlatformError => new PlatformError({kind: 'unavailable', detail: 'Down.', remedy: 'Try again.'});

/** Origin in memory that counts its reads. Tests set its faults. */
export class FakeOrigin implements WeightOrigin {
	isDown = false;

	/** Reads left to answer with corrupt bytes. */
	corruptReads = 0;
	delayMs = 1;
	readonly reads = new Map<string, number>();
	readonly #objects = new Map<string, Uint8Array>();

	add(version: Version): void {
		this.#objects.set(version.hash, version.bytes);
		for (const [hash, data] of version.chunks) {
			this.#objects.set(hash, data);
		}
	}

	set(hash: string, bytes: Uint8Array): void {
		this.#objects.set(hash, bytes);
	}

	readsOf(version: Version): number {
		return [...version.chunks.keys()].reduce((sum, hash) => sum + (this.reads.get(hash) ?? 0), 0);
	}

	readonly manifest: WeightOrigin['manifest'] = async (hash, signal) => this.#read(hash, signal);

	readonly chunk: WeightOrigin['chunk'] = async (hash, signal) => {
		const result = await this.#read(hash, signal);
		if (result.err || this.corruptReads === 0) {
			return result;
		}

		this.corruptReads--;
		const bytes = Uint8Array.from(result.val);
		bytes[0] = 255 - bytes[0];
		return Ok(bytes);
	};

	async #read(hash: string, signal?: AbortSignal): Promise<Result<Uint8Array, PlatformError>> {
		await new Promise(resolve => {
			setTimeout(resolve, this.delayMs);
		});
		if (this.isDown || signal?.aborted) {
			return Err(unavailable());
		}

		this.reads.set(hash, (this.reads.get(hash) ?? 0) + 1);
		const bytes = this.#objects.get(hash);
		return bytes ? Ok(bytes) : Err(missing());
	}
}

/** Engine in memory that records its commands. */
export class FakeEngine implements ModelEngine {
	checksFencing = true;
	isDown = false;
	incarnation = 1;
	putDelayMs = 0;
	highestFencing = 0;
	readonly activations: string[] = [];
	versions: LoadedVersion[] = [];

	/** Manifest hash by the chunks it was made of, as the engine would compute it. */
	readonly #hashes = new Map<string, string>();
	#chunks = new Set<string>();

	know(version: Version): void {
		this.#hashes.set(version.manifest.chunks.join(','), version.hash);
	}

	crash(): void {
		this.incarnation++;
		this.versions = [];
		this.#chunks = new Set();
	}

	readonly state = async (): Promise<Result<EngineState, PlatformError>> => this.isDown
		? Err(unavailable())
		: Ok({
			incarnation: String(this.incarnation), versions: this.versions, running: 0, waiting: 0, capacity: 4,
		});

	readonly putChunk: ModelEngine['putChunk'] = async (hash, data) => {
		await new Promise(resolve => {
			setTimeout(resolve, this.putDelayMs);
		});
		if (this.isDown || sha256(data) !== hash) {
			return Err(unavailable());
		}

		this.#chunks.add(hash);
		return Ok.EMPTY;
	};

	readonly load = async (order: LoadOrder): Promise<Result<string, PlatformError>> => this.#run(order, () => {
		if (order.chunks.some(hash => !this.#chunks.has(hash))) {
			return Err(new PlatformError({kind: 'rejected', detail: 'Chunks are missing.', remedy: 'Send them.'}));
		}

		const {name, version, kind} = order;
		const manifest = this.#hashes.get(order.chunks.join(',')) ?? 'unknown';
		this.versions = [...this.versions.filter(other => other.manifest !== manifest), {
			name, version, manifest, kind, active: false,
		}];
		return Ok(manifest);
	});

	readonly activate = async (order: Order): Promise<Result<void, PlatformError>> => this.#run(order, () => {
		const chosen = this.versions.find(({manifest}) => manifest === order.manifest);
		if (!chosen) {
			return Err(missing());
		}

		this.activations.push(order.manifest);
		this.versions = this.versions.map(version => version.name === chosen.name ? {...version, active: version === chosen} : version);
		return Ok.EMPTY;
	});

	readonly unload = async (order: Order): Promise<Result<void, PlatformError>> => this.#run(order, () => {
		this.versions = this.versions.filter(({manifest}) => manifest !== order.manifest);
		return Ok.EMPTY;
	});

	#run<Value>({fencingNumber}: Order, command: () => Result<Value, PlatformError>): Result<Value, PlatformError> {
		if (this.isDown) {
			return Err(unavailable());
		}

		if (this.checksFencing && fencingNumber < this.highestFencing) {
			return Err(new PlatformError({kind: 'stale-fencing', detail: 'Stale.', remedy: 'Renew the lease.'}));
		}

		this.highestFencing = Math.max(this.highestFencing, fencingNumber);
		return command();
	}
}

export class FakeConfiguration implements ConfigurationSource {
	current: ConfigurationInForce | undefined;
	readonly #published = new Publisher<ConfigurationInForce>();

	get changes() {
		return streamOf(this.#published);
	}

	/** Puts versions into force. */
	set(versions: readonly Version[], {balance = 0.5, maxSwitchingShare = 1}: {readonly balance?: number; readonly maxSwitchingShare?: number} = {}): void {
		const models: readonly ModelConfiguration[] = versions.map(({hash, manifest: {name, kind, version, base}}) => ({
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
	readonly engine: FakeEngine;
	readonly metrics: MemoryMetrics;
	readonly server: PeerServer;
	readonly state: {fencing: Result<number, {readonly message: string}>};

	/** Ends the agent at once, as if its VM had failed; the others see it as dead. */
	readonly kill: () => Promise<void>;
};

/** Agents that see each other's records at once, around one origin and one configuration. */
export class TestFleet {
	readonly origin = new FakeOrigin();
	readonly configuration = new FakeConfiguration();
	readonly agents: TestAgent[] = [];
	readonly #records = new Map<string, MemberRecord>();
	readonly #changed = new Publisher<MemberRecord>();

	constructor(private readonly settings: Partial<WeightSettings> = {}) {}

	async add(id: string, {region = 'west', engine = new FakeEngine(), address}: {
		readonly region?: string;
		readonly engine?: FakeEngine;

		/** Address told to the others, when it is not the one on which the agent listens. */
		readonly address?: (own: string) => Promise<string>;
	} = {}): Promise<TestAgent> {
		const server = new PeerServer();
		const metrics = new MemoryMetrics();
		const state: TestAgent['state'] = {fencing: Ok(1)};
		const members = this.#tableOf(id);
		this.#records.set(id, {
			id, role: 'agent', address: '127.0.0.1:1', region, failureDomain: region, incarnation: 1, sequence: 1, status: 'alive', revision: 1,
			upstream: {
				kind: 'engine', service: 'kit', ready: true, capacity: 4, served: [], held: [],
			},
		});
		const manager = new WeightManager({
			selfId: id, service: 'kit', members, configuration: this.configuration, origin: this.origin, engine, fencing: () => state.fencing,
			peerServer: server, settings: {storeRegion: 'west', enginePollMs: 20, ...this.settings}, random: seededRandom(id), metrics,
		});
		const own = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
		this.#update(id, {address: address ? await address(own) : own});
		const controller = new AbortController();
		const done = manager.start(controller.signal);
		const agent: TestAgent = {
			id, manager, engine, metrics, server, state,
			kill: async () => {
				this.agents.splice(this.agents.indexOf(agent), 1);
				controller.abort();
				await Promise.all([server.close(), done]);
				this.#records.delete(id);
			},
		};
		this.agents.push(agent);
		return agent;
	}

	async addMany(count: number, region = 'west'): Promise<void> {
		for (let i = 0; i < count; i++) {
			await this.add(`${region}-${i}`, {region});
		}
	}

	/** Makes versions readable at the origin and known to the engines. */
	publish(...versions: readonly Version[]): void {
		for (const version of versions) {
			this.origin.add(version);
			for (const {engine} of this.agents) {
				engine.know(version);
			}
		}
	}

	async close(): Promise<void> {
		for (const agent of this.agents) {
			await agent.kill();
		}
	}

	isServedByAll(version: Version): boolean {
		return this.agents.every(({manager}) => manager.serving.some(({manifest}) => manifest === version.hash));
	}

	#update(id: string, patch: Partial<MemberRecord>): void {
		const record = this.#records.get(id);
		if (record) {
			const updated = {...record, ...patch, sequence: record.sequence + 1};
			this.#records.set(id, updated);
			this.#changed.publish(updated);
		}
	}

	#tableOf(id: string): MemberTable {
		const records = this.#records;
		return {
			get self() {
				return records.get(id)!;
			},
			get members() {
				return [...records.values()];
			},
			find: other => records.get(other),
			changes: streamOf(this.#changed),
			updateSelf: (patch: MemberPatch) => {
				this.#update(id, patch);
			},
			highestRevision: 1,
		};
	}
}

/** Waits until the condition holds; rejects after the limit. */
export const eventually = async (condition: () => boolean, subject: string, limitMs = 8000): Promise<void> => {
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
