/** A small fleet: store, workers of plain services and entries, on loopback addresses. */
import {
	Agent, Entry, NETWORK, untilReady, ZONE_NAMES,
} from './process.js';
import {Engine, Origin} from './engine.js';
import {Relay} from './relay.js';
import {Store} from './store.js';
import {Worker, workerItem} from './worker.js';

const STORE_HOST = `${NETWORK}.200`;

/** Time after a crash at which a worker is back. */
const RESTART_MS = 3000;

const zoneOf = index => ZONE_NAMES[index % ZONE_NAMES.length];

export class Fleet {
	store = new Store();
	entries = [];
	agents = [];
	/** One between each process and the store. */
	relays = [];
	/** Each request that a worker began to run: its id, the worker, its size and the time on the steady clock. */
	runs = [];
	/** Each crash of a worker under a request. */
	crashes = [];
	#onEnd;
	#storeAddress;
	/** What the store lists of each worker. */
	#items = new Map();

	constructor({onEnd}) {
		this.#onEnd = onEnd;
		onEnd(() => this.store.close());
	}

	/** Starts a worker and lists it. @param options `slots`, and those of {@link Worker} */
	async addWorker({id, service, ...options}) {
		const {slots = 16} = options;
		const worker = new Worker({
			...options,
			id,
			onRun: run => {
				this.runs.push({...run, at: performance.now()});
			},
			onCrash: requestId => {
				this.crashes.push({requestId, worker: id, at: performance.now()});
				setTimeout(() => {
					worker.restart();
					this.#list(id, {born: Date.now()});
				}, RESTART_MS).unref();
			},
		});
		this.#onEnd(() => worker.close());
		const address = await worker.listen(`${NETWORK}.${100 + this.#items.size}`);
		this.#list(id, {service, address, slots});
		return worker;
	}

	/** Changes what the store lists of a worker. */
	#list(id, changes) {
		const item = {...this.#items.get(id), ...changes};
		this.#items.set(id, item);
		this.store.put(`servers/${id}`, workerItem(item));
	}

	/** A worker writes to the store as at each of its beats. */
	beat(id) {
		this.#list(id, {seq: (this.#items.get(id).seq ?? 1) + 1, coldLeftMs: 100});
	}

	/** A worker reports to the store that it leaves. */
	drain(id) {
		this.#list(id, {state: 'draining'});
	}

	/** Starts entries and waits until all are ready. */
	async startEntries(count) {
		const seeds = Array.from({length: count}, (_, index) => `${NETWORK}.${index + 1}`);
		for (const [index, ip] of seeds.entries()) {
			const entry = new Entry({
				name: `front-${index + 1}`, ip, zone: zoneOf(index), storeAddress: await this.#relayedStore(), seeds,
			});
			this.entries.push(entry);
			this.#onEnd(async () => entry.close());
		}

		await untilReady(this.entries);
	}

	/** Starts model engines that hold version 1, each with an agent, and the origin of their weights. @returns the address of the origin */
	async startEngines(count, {service, model, entries}) {
		const origin = new Origin({model});
		this.#onEnd(() => origin.close());
		const seeds = Array.from({length: entries}, (_, index) => `${NETWORK}.${index + 1}`);
		for (let index = 0; index < count; index++) {
			const id = `i-${index + 1}`;
			const ip = `${NETWORK}.${50 + index}`;
			const zone = zoneOf(index);
			const engine = new Engine({
				id,
				model,
				onRun: run => {
					this.runs.push({...run, at: performance.now()});
				},
				onReport: report => {
					this.#list(id, report);
				},
			});
			this.#onEnd(() => engine.close());
			const app = await engine.listen(ip);
			this.#list(id, {
				service, address: app, zone, ...engine.report,
			});
			const agent = new Agent({
				name: `side-${index + 1}`, ip, zone, app, service, storeAddress: await this.#relayedStore(), seeds,
			});
			this.agents.push(agent);
			this.#onEnd(async () => agent.close());
		}

		return origin.listen(`${NETWORK}.201`);
	}

	/** @returns the address of a relay to the store for one process */
	async #relayedStore() {
		this.#storeAddress ??= await this.store.listen(STORE_HOST);
		const relay = new Relay(this.#storeAddress);
		this.relays.push(relay);
		this.#onEnd(() => relay.close());
		return relay.listen(STORE_HOST);
	}
}
