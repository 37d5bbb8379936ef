/** A small fleet in one process, with held time and recorded messages, on in-process stand-ins. */
import {PeerClient, seededRandom} from '@yuccawood/common';
import {initialiseDocument} from '@yuccawood/configuration';
import {
	AgentProcess, checkSettings, EntryProcess, type AgentSettings, type EntrySettings, type ProcessEnvironment,
} from '@yuccawood/daemon';
import {HttpKeyValueService, type KeyValueService} from '@yuccawood/interfaces';
import {
	createWeights, EngineStandIn, KeyValueStandIn, OriginStandIn, ServiceStandIn, VmListStandIn, type GeneratedWeights,
} from '@yuccawood/stand-ins';
import {documentText} from '../fleet/document.js';
import {freeAddresses} from '../fleet/ports.js';
import {agentSettingsText, entrySettingsText, type PlatformAddresses} from '../fleet/settings-text.js';
import {HeldClock} from './held-clock.js';
import {Transcript} from './transcript.js';

export const MODEL = 'kit-assistant';
const WEIGHT_BYTES = 64 * 1024;
const CHUNK_BYTES = 16 * 1024;
const CRASH_DOWN_MS = 200;
const MAX_STEPS = 200;

const weightsOf = (version: string): GeneratedWeights => createWeights({
	seed: 'golden', name: MODEL, version, sizeBytes: WEIGHT_BYTES, chunkBytes: CHUNK_BYTES,
});

/** Parts whose log lines are decisions that a session shows. Those of weights and membership depend on the order of concurrent transfers. */
const LOGGED_PARTS: ReadonlySet<string> = new Set(['lifecycle', 'entry', 'requests', 'lease']);

/** RPC methods that are part of a session's transcript. */
const RECORDED_METHODS = /^(?:requests|poison)\./;

/** Calls of the key-value service outside the background work of configuration. */
const RECORDED_KEYS = /^(?:claims|upstreams)\//;

export class SessionFleet {
	readonly transcript = new Transcript();
	readonly clock = new HeldClock();
	readonly keyValueStandIn = new KeyValueStandIn({});
	readonly origin: OriginStandIn;
	readonly vmList = new VmListStandIn({});
	readonly versions: Readonly<Record<'v1' | 'v2', GeneratedWeights>> = {v1: weightsOf('v1'), v2: weightsOf('v2')};
	readonly engines = new Map<string, EngineStandIn>();
	readonly services = new Map<string, ServiceStandIn>();
	readonly entries = new Map<string, EntryProcess>();
	readonly agents = new Map<string, AgentProcess>();
	#platform: PlatformAddresses | undefined;
	#seeds: readonly string[] = [];

	constructor() {
		this.origin = new OriginStandIn({random: seededRandom('golden'), weights: Object.values(this.versions)});
		this.transcript.name(this.versions.v1.hash, 'manifest-v1');
		this.transcript.name(this.versions.v2.hash, 'manifest-v2');
	}

	get keyValue(): KeyValueService {
		return new HttpKeyValueService({address: this.#platform?.keyValue ?? ''});
	}

	/** Starts the platform, the first document, an agent for each engine and service, and the entries. */
	async start({engines = 2, services = 1, entries = 2}: {readonly engines?: number; readonly services?: number; readonly entries?: number} = {}): Promise<void> {
		const [keyValue, origin, vmList] = await Promise.all([this.keyValueStandIn.listen(), this.origin.listen(), this.vmList.listen()]);
		this.#platform = {keyValue, origin, vmList};
		await initialiseDocument({
			keyValue: this.keyValue, clock: this.clock, author: 'golden', team: 'platform', editId: 'first',
			text: documentText({model: {name: MODEL, version: 'v1', manifest: this.versions.v1.hash}}),
		});
		for (let i = 1; i <= engines; i++) {
			await this.#addEngine(`engine-${i}`);
		}

		for (let i = 1; i <= services; i++) {
			await this.#addService(`orders-${i}`);
		}

		for (let i = 1; i <= entries; i++) {
			await this.#addEntry(`entry-${i}`);
		}

		await this.advanceUntil(() => [...this.entries.values()].every(entry => isComplete(entry, engines + services)));
	}

	/** Moves time in small steps until the check holds. */
	async advanceUntil(check: () => boolean, stepMs = 500): Promise<void> {
		for (let step = 0; step < MAX_STEPS && !check(); step++) {
			await this.clock.advance(stepMs);
		}

		if (!check()) {
			throw new Error('The session did not reach the state it waited for. Read its log parts.');
		}
	}

	/** Moves time until the work has ended, for work that waits for timers of the held clock. */
	async settle<Value>(work: Promise<Value>, stepMs = 100): Promise<Value> {
		let isDone = false;
		const watch = async (): Promise<void> => {
			try {
				await work;
			} finally {
				isDone = true;
			}
		};

		await Promise.all([watch(), this.advanceUntil(() => isDone, stepMs)]);
		return work;
	}

	async close(): Promise<void> {
		for (const {node} of [...this.entries.values(), ...this.agents.values()]) {
			node.endTasks();
		}

		await Promise.all([...this.entries.values()].map(async ({server}) => server.close()));
		await Promise.all([...this.agents.values()].map(async ({requests}) => requests.close()));
		await Promise.all([...this.entries.values(), ...this.agents.values()].map(async ({node}) => node.close()));
		const standIns = [this.keyValueStandIn, this.origin, this.vmList, ...this.engines.values(), ...this.services.values()];
		await Promise.all(standIns.map(async standIn => standIn.close()));
	}

	entryAddress(id: string): string {
		return this.entries.get(id)?.server.address ?? '';
	}

	async #addEngine(id: string): Promise<void> {
		const engine = new EngineStandIn({tokenIntervalMs: 1, crashDownMs: CRASH_DOWN_MS});
		this.engines.set(id, engine);
		await this.#addAgent(id, {kind: 'engine', service: MODEL, upstream: await engine.listen()});
	}

	async #addService(id: string): Promise<void> {
		const service = new ServiceStandIn({name: 'orders'});
		this.services.set(id, service);
		await this.#addAgent(id, {kind: 'service', service: 'orders', upstream: await service.listen()});
	}

	async #addAgent(id: string, options: {readonly kind: 'engine' | 'service'; readonly service: string; readonly upstream: string}): Promise<void> {
		const [listen, orderLock] = await freeAddresses(2);
		const text = agentSettingsText({
			...this.#shared(id, listen), ...options, capacity: 8, checksFencing: true, orderLock, storeRegion: 'western',
		});
		const agent = new AgentProcess(checkSettings(text).unwrap() as AgentSettings, this.#environment(id));
		this.agents.set(id, agent);
		await agent.start();
		this.#join(listen);
	}

	async #addEntry(id: string): Promise<void> {
		const [listen, callers] = await freeAddresses(2);
		const text = entrySettingsText({...this.#shared(id, listen), callers});
		const entry = new EntryProcess(checkSettings(text).unwrap() as EntrySettings, this.#environment(id));
		this.entries.set(id, entry);
		await entry.start();
		this.#join(listen);
	}

	#join(address: string): void {
		this.#seeds = [...this.#seeds, address].slice(0, 2);
	}

	#shared(id: string, listen: string) {
		this.transcript.name(listen, id);
		return {
			place: {id, region: 'western', failureDomain: 'western-a'}, listen, seeds: this.#seeds, platform: this.#platform!,
		};
	}

	#environment(id: string): ProcessEnvironment {
		return {
			clock: this.clock,
			random: seededRandom(`golden-${id}`),
			log: this.transcript.log(id, LOGGED_PARTS),
			keyValue: this.#recordedKeyValue(id),
			peerClient: new RecordedPeerClient({actor: id, transcript: this.transcript}),
		};
	}

	#recordedKeyValue(actor: string): KeyValueService {
		const service = this.keyValue;
		const {transcript} = this;
		return {
			...service,
			read: service.read, list: service.list, watch: service.watch, grantLease: service.grantLease, renewLease: service.renewLease, revokeLease: service.revokeLease,
			async write(key, value, condition) {
				const result = await service.write(key, value, condition);
				if (RECORDED_KEYS.test(key)) {
					const expected = condition?.expectedVersion === undefined ? '' : ` if version ${condition.expectedVersion}`;
					transcript.add(actor, `key-value: write ${key}${expected}: ${result.ok ? 'done' : result.val.kind}`);
				}

				return result;
			},
			async remove(key, condition) {
				const result = await service.remove(key, condition);
				if (RECORDED_KEYS.test(key)) {
					transcript.add(actor, `key-value: remove ${key}: ${result.ok ? 'done' : result.val.kind}`);
				}

				return result;
			},
		};
	}
}

/** Leaves a kept answer out; the caller's lines show it, and its date header differs between runs. */
const hideAnswer = (key: string, value: unknown): unknown => key === 'answer' ? '(kept answer)' : value;

class RecordedPeerClient extends PeerClient {
	readonly #actor: string;
	readonly #transcript: Transcript;

	constructor({actor, transcript}: {readonly actor: string; readonly transcript: Transcript}) {
		super();
		this.#actor = actor;
		this.#transcript = transcript;
	}

	override async call<Result>(...[address, method, parameters, options]: Parameters<PeerClient['call']>): Promise<Result> {
		const result = await super.call<Result>(address, method, parameters, options);
		if (RECORDED_METHODS.test(method)) {
			this.#transcript.add(this.#actor, `${method} to ${address}: ${JSON.stringify(result, hideAnswer)}`);
		}

		return result;
	}
}

const isComplete = ({node}: EntryProcess, upstreams: number): boolean => {
	const ready = node.gossip.members.filter(({upstream}) => upstream?.ready);
	return ready.length === upstreams && node.lifecycle.phase === 'serving';
};
