import {delay} from '@yuccawood/common';

const HEALTH_PERIOD_MS = 100;
const HEALTH_TIMEOUT_MS = 500;

/** Stand-in of the platform's balancer: sends callers to entries whose health check answers 200, in turn. */
export class Balancer {
	#healthy: readonly string[] = [];
	#next = 0;
	readonly #addresses: () => readonly string[];
	readonly #ended = new AbortController();

	/** @param addresses gives the callers' addresses of all entries. */
	constructor({addresses}: {readonly addresses: () => readonly string[]}) {
		this.#addresses = addresses;
	}

	get healthy(): readonly string[] {
		return this.#healthy;
	}

	/** Checks the entries until `close`. */
	async start(): Promise<void> {
		await this.#check();
		void this.#run();
	}

	close(): void {
		this.#ended.abort();
	}

	/** Address of the entry for the next call; undefined while none is healthy. */
	pick(): string | undefined {
		return this.#healthy.length === 0 ? undefined : this.#healthy[this.#next++ % this.#healthy.length];
	}

	async #run(): Promise<void> {
		while (!this.#ended.signal.aborted) {
			await delay(HEALTH_PERIOD_MS, this.#ended.signal);
			await this.#check();
		}
	}

	async #check(): Promise<void> {
		const addresses = this.#addresses();
		const results = await Promise.all(addresses.map(async address => isHealthy(address)));
		this.#healthy = addresses.filter((_address, index) => results[index]);
	}
}

const isHealthy = async (address: string): Promise<boolean> => {
	try {
		const response = await fetch(`http://${address}/healthz`, {signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS)});
		await response.arrayBuffer();
		return response.status === 200;
	} catch {
		return false;
	}
};
