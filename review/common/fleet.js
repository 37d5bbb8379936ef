/** A small fleet: store, workers of plain services and entries, on loopback addresses. */
import {Entry, NETWORK, untilReady} from './entry.js';
import {Relay} from './relay.js';
import {Store} from './store.js';
import {Worker, workerItem} from './worker.js';

const STORE_HOST = `${NETWORK}.200`;

/** Time after a crash at which a worker is back. */
const RESTART_MS = 3000;

export class Fleet {
	store = new Store();
	entries = [];
	/** One between each entry and the store. */
	relays = [];
	/** Each request that a worker began to run: its id, the worker, its size and the time on the steady clock. */
	runs = [];
	/** Each crash of a worker under a request. */
	crashes = [];
	#onEnd;
	/** What the store lists of each worker. */
	#items = new Map();

	constructor({onEnd}) {
		this.#onEnd = onEnd;
		onEnd(() => this.store.close());
	}

	/** Starts a worker and lists it. @param options `slots`, and those of {@link Worker} */
	async addWorker({id, service, slots, ...options}) {
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
		const storeAddress = await this.store.listen(STORE_HOST);
		for (let index = 0; index < count; index++) {
			const relay = new Relay(storeAddress);
			const entry = new Entry({index, storeAddress: await relay.listen(STORE_HOST), count});
			this.relays.push(relay);
			this.entries.push(entry);
			this.#onEnd(() => relay.close());
			this.#onEnd(async () => entry.close());
		}

		await untilReady(this.entries);
	}
}
