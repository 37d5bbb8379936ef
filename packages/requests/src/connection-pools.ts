/** Pools of HTTP connections by address. */
import {
	buildConnector, Pool, type Client, type Dispatcher,
} from 'undici';
import {createGuardedClient} from '@yuccawood/common';
import {CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS} from './constants.js';

const CLIENT_OPTIONS = {
	connect: buildConnector({timeout: CONNECT_TIMEOUT_MS, noDelay: true}),
	// `Supervisor` checks the progress and deadline of each request, so the timeouts of undici are disabled.
	headersTimeout: 0,
	bodyTimeout: 0,
	keepAliveTimeout: KEEP_ALIVE_MS,
	pipelining: 1,
};

const createPool = (address: string): Pool => new Pool(`http://${address}`, {...CLIENT_OPTIONS, factory: createGuardedClient});

export class ConnectionPools {
	readonly #pools = new Map<string, Pool>();

	get(address: string): Dispatcher {
		const known = this.#pools.get(address);
		if (known) {
			return known;
		}

		const pool = createPool(address);
		this.#pools.set(address, pool);
		return pool;
	}

	/**
	Creates a client for a single request, which the caller closes. A non-repeatable request does not use pooled connections,
	because the upstream may close an idle one just as the request is written, which leaves its outcome unknown.
	*/
	createSingleUse(address: string): Client {
		return createGuardedClient(`http://${address}`, CLIENT_OPTIONS);
	}

	/** Directs further requests for the address to new connections. Requests in progress finish on the old ones. */
	replace(address: string): void {
		const pool = this.#pools.get(address);
		this.#pools.delete(address);
		void pool?.close();
	}

	async close(): Promise<void> {
		const pools = [...this.#pools.values()];
		this.#pools.clear();
		await Promise.all(pools.map(async pool => pool.destroy()));
	}
}
