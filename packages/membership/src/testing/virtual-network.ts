import {RpcError, type PeerClient, type PeerServer} from '@yuccawood/common';
import {VirtualClock, type VirtualTime} from './virtual-time.js';

type Method = (parameters: unknown) => unknown;

/** One process of a virtual network. It replaces the peer server and the peer client of that process. */
export class VirtualHost {
	readonly peerServer: Pick<PeerServer, 'method'> = {
		method: (name, run) => {
			this.#methods.set(name, run as Method);
		},
	};

	readonly peerClient: Pick<PeerClient, 'call'> = {
		call: async <Result>(address: string, method: string, parameters: unknown, {timeoutMs = 2000}: {readonly timeoutMs?: number} = {}): Promise<Result> =>
			await this.#network.deliver(this, {
				address, method, parameters, timeoutMs,
			}) as Result,
	};

	readonly address: string;
	readonly clock: VirtualClock;

	/** Bytes of JSON-RPC bodies sent and received. */
	bodyBytes = 0;
	messageCount = 0;
	readonly #network: VirtualNetwork;
	readonly #methods = new Map<string, Method>();

	constructor({address, network, time}: {readonly address: string; readonly network: VirtualNetwork; readonly time: VirtualTime}) {
		this.address = address;
		this.clock = new VirtualClock(time);
		this.#network = network;
	}

	/** Runs a registered method, as if a peer had called it. */
	async receive(method: string, parameters: unknown): Promise<unknown> {
		const run = this.#methods.get(method);
		if (!run) {
			throw new RpcError({kind: 'refused', detail: `No method ${method}.`, remedy: 'Register it.'});
		}

		return run(parameters);
	}
}

/** Connects virtual hosts with a fixed latency. Tests can remove hosts and interrupt links. */
export class VirtualNetwork {
	readonly #time: VirtualTime;
	readonly #latencyMs: number;
	readonly #hosts = new Map<string, VirtualHost>();
	#links: {readonly isCut: (from: string, to: string) => boolean} = {isCut: () => false};

	constructor({time, latencyMs = 1}: {readonly time: VirtualTime; readonly latencyMs?: number}) {
		this.#time = time;
		this.#latencyMs = latencyMs;
	}

	addHost(address: string): VirtualHost {
		const host = new VirtualHost({address, network: this, time: this.#time});
		this.#hosts.set(address, host);
		return host;
	}

	/** Removes a host, as if its process had been killed. */
	removeHost(address: string): void {
		this.#hosts.delete(address);
	}

	/** Drops all messages from one address to another for which the function returns true. Without an argument all links work again. */
	interruptLinks(isCut: (from: string, to: string) => boolean = () => false): void {
		this.#links = {isCut};
	}

	/** Delivers a call and its answer. Rejects with an `RpcError` of kind `unreachable` or `no-answer`. */
	async deliver(from: VirtualHost, {address, method, parameters, timeoutMs}: {
		readonly address: string;
		readonly method: string;
		readonly parameters: unknown;
		readonly timeoutMs: number;
	}): Promise<unknown> {
		const startedAt = this.#time.now;
		const request = JSON.stringify(parameters);
		from.bodyBytes += request.length;
		from.messageCount++;
		await from.clock.sleep(this.#latencyMs);
		const to = this.#hosts.get(address);
		if (!to && !this.#links.isCut(from.address, address)) {
			throw new RpcError({kind: 'unreachable', detail: `${address} is not there.`, remedy: 'Start it.'});
		}

		if (!to || to.clock.isFrozen || this.#links.isCut(from.address, address)) {
			return this.#timeOut(from, startedAt, timeoutMs);
		}

		to.bodyBytes += request.length;
		const answer = JSON.stringify(await to.receive(method, JSON.parse(request)) ?? null);
		to.bodyBytes += answer.length;
		to.messageCount++;
		if (this.#links.isCut(address, from.address) || to.clock.isFrozen) {
			return this.#timeOut(from, startedAt, timeoutMs);
		}

		await from.clock.sleep(this.#latencyMs);
		from.bodyBytes += answer.length;
		return JSON.parse(answer) as unknown;
	}

	/** Waits until the call times out, then rejects. */
	async #timeOut(from: VirtualHost, startedAt: number, timeoutMs: number): Promise<never> {
		await from.clock.sleep(timeoutMs - (this.#time.now - startedAt));
		throw new RpcError({kind: 'no-answer', detail: 'No answer.', remedy: 'Ask again.'});
	}
}
