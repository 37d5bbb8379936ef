/** A small fleet: store, workers of plain services and entries, on loopback addresses. */
import {Entry, NETWORK, untilReady} from './entry.js';
import {Relay} from './relay.js';
import {Store} from './store.js';
import {Worker, workerItem} from './worker.js';

const STORE_HOST = `${NETWORK}.200`;

export class Fleet {
	store = new Store();
	entries = [];
	/** One between each entry and the store. */
	relays = [];
	/** Each request that a worker began to run: its id, the worker, its size and the time on the steady clock. */
	runs = [];
	#onEnd;
	#workers = 0;

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
		});
		this.#onEnd(() => worker.close());
		const address = await worker.listen(`${NETWORK}.${100 + this.#workers++}`);
		this.store.put(`servers/${id}`, workerItem({service, address, slots}));
		return worker;
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
