/** Kept connections by address. */
import {Client, Pool, type Dispatcher} from 'undici';
import {CONNECT_TIMEOUT_MS, KEEP_ALIVE_MS} from './constants.js';

const CLIENT_OPTIONS = {
	connect: {timeout: CONNECT_TIMEOUT_MS, noDelay: true},
	// Progress and deadlines are supervised for each request, so the timers of the client stay off.
	headersTimeout: 0,
	bodyTimeout: 0,
	keepAliveTimeout: KEEP_ALIVE_MS,
	pipelining: 1,
};

const createPool = (address: string): Pool => new Pool(`http://${address}`, CLIENT_OPTIONS);

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
	A connection of its own for one request, closed after it. A request that must not be repeated does not use kept connections,
	because the upstream may close one at the moment the request is written, which leaves its outcome unknown.
	*/
	createSingleUse(address: string): Client {
		return new Client(`http://${address}`, CLIENT_OPTIONS);
	}

	/** Starts the next requests to the address on new connections; requests in progress finish on theirs. */
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
