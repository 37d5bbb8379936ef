/** Upstreams of the soak behind relays: model engines with what an agent needs, and plain ones. */
import type {Random} from '@yuccawood/common';
import {
	type EngineStandIn, ENGINES, type JsonServer, PLAIN, RequestStandIn, UPSTREAM_PREFIX, upstreamItem, type Run, type StoreStandIn,
} from '@yuccawood/platform/testing';
import {TcpRelay} from '../soak/tcp-relay.js';

const LIST_INTERVAL_MS = 200;

/** Start that the stand-ins tell; they lose their weights without a new one. */
const FIRST_START = 1000;

export class SoakUpstream {
	/** Address that entries and the agent use. */
	address = '';
	readonly requests: RequestStandIn;
	readonly relay: TcpRelay;
	readonly engine: EngineStandIn | undefined;
	readonly #service: string;
	readonly #id: string;
	readonly #store: StoreStandIn;
	readonly #plain: JsonServer | undefined;
	#listed = '';
	#timer: NodeJS.Timeout | undefined;

	constructor({id, isEngine, store, random, onRun, target}: {
		readonly id: string;
		readonly isEngine: boolean;
		readonly store: StoreStandIn;
		readonly random: Random;
		readonly onRun: (run: Run) => void;
		readonly target: {readonly engine?: EngineStandIn; readonly plain?: JsonServer};
	}) {
		this.#id = id;
		this.#store = store;
		this.#service = isEngine ? ENGINES : PLAIN;
		this.engine = target.engine;
		this.#plain = target.plain;
		this.requests = new RequestStandIn({
			upstreamId: id, random: () => random.next(), onRun, heldVersion: isEngine ? () => this.engine?.loadedVersion : undefined,
		});
		this.relay = new TcpRelay({target: target.engine?.address ?? target.plain!.address});
	}

	async start(ip: string): Promise<void> {
		this.address = await this.relay.listen(ip);
		this.#timer = setInterval(() => {
			this.#list();
		}, LIST_INTERVAL_MS);
		this.#list();
	}

	/** Forgets the weights, as a restart does. */
	empty(): void {
		if (this.engine) {
			this.engine.loadedVersion = undefined;
			this.engine.staged.clear();
		}
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		await this.relay.close();
		await this.engine?.close();
		await this.#plain?.close();
	}

	/** Keeps the entry in the store as the upstream's state is. */
	#list(): void {
		const item = upstreamItem({
			service: this.#service, address: this.address, startedAt: FIRST_START, version: this.engine?.loadedVersion,
		});
		const text = JSON.stringify(item);
		if (text !== this.#listed) {
			this.#listed = text;
			this.#store.put(`${UPSTREAM_PREFIX}${this.#id}`, item);
		}
	}
}
