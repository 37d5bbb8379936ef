import {Pool, request} from 'undici';
import {MAX_CONNECTIONS_PER_PEER, DEFAULT_RPC_TIMEOUT_MS, MAX_RPC_RESPONSE_BYTES} from './constants.js';
import {describeError} from './errors.js';
import {createGuardedClient} from './guarded-client.js';
import {readBody} from './http-bodies.js';
import {RpcError} from './rpc-errors.js';

export type PeerClientOptions = {
	readonly connectTimeoutMs?: number;

	/** Called after each answered call with the size of its JSON-RPC request and response together. */
	readonly onControlBytes?: (bytes: number) => void;
};

export type CallOptions = {
	readonly timeoutMs?: number;

	/** Opens a new connection for this call, because a pooled one may be dead without having been closed and would delay the call until its timeout. */
	readonly useNewConnection?: boolean;
};

type Answer = {
	readonly result?: unknown;
	readonly error?: {readonly code: number; readonly message: string};
};

/** Error codes of connection attempts that failed, so that the request was never sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const errorCode = (error: unknown): string => (error as {code?: string}).code ?? '';

/** Calls JSON-RPC methods of peers over a small connection pool for each address. */
export class PeerClient {
	readonly #pools = new Map<string, Pool>();
	readonly #connectTimeoutMs: number;
	readonly #onControlBytes: (bytes: number) => void;
	#nextId = 1;

	constructor({connectTimeoutMs = 1000, onControlBytes = () => undefined}: PeerClientOptions = {}) {
		this.#connectTimeoutMs = connectTimeoutMs;
		this.#onControlBytes = onControlBytes;
	}

	/**
	Calls a method of the process at the address `IP:port`.

	@throws {RpcError} `unreachable` if the call was not run, `no-answer` if it may have run, `refused` if the peer answered with an error.
	*/
	async call<Result>(address: string, method: string, parameters: unknown, {timeoutMs = DEFAULT_RPC_TIMEOUT_MS, useNewConnection: fresh = false}: CallOptions = {}): Promise<Result> {
		const id = this.#nextId++;
		const body = JSON.stringify({
			jsonrpc: '2.0', id, method, params: parameters,
		});
		const text = await this.#post(address, body, {timeoutMs, useNewConnection: fresh});
		this.#onControlBytes(body.length + text.length);
		const answer = parseAnswer(address, text);
		if (answer.error) {
			throw new RpcError({kind: 'refused', detail: `Peer ${address} refused ${method}: ${answer.error.message}.`, remedy: 'See the log of that peer.'});
		}

		return answer.result as Result;
	}

	/** Closes the pooled connections to one peer. Calls in progress on them fail with `no-answer`. */
	async closeConnections(address: string): Promise<void> {
		const pool = this.#pools.get(address);
		this.#pools.delete(address);
		await pool?.destroy();
	}

	/** Closes the pooled connections to all peers. */
	async close(): Promise<void> {
		await Promise.all([...this.#pools.keys()].map(async address => this.closeConnections(address)));
	}

	async #post(address: string, body: string, {timeoutMs, useNewConnection: fresh}: Required<CallOptions>): Promise<string> {
		const dispatcher = fresh ? new Pool(`http://${address}`, {connections: 1, factory: createGuardedClient, connect: {timeout: this.#connectTimeoutMs}}) : this.#pool(address);
		try {
			const response = await request(`http://${address}/rpc`, {
				dispatcher, method: 'POST', body, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(timeoutMs),
			});
			return new TextDecoder().decode(await readBody(response.body, MAX_RPC_RESPONSE_BYTES));
		} catch (error) {
			if (NOT_CONNECTED_CODES.has(errorCode(error))) {
				throw new RpcError({
					kind: 'unreachable', detail: `Peer ${address} is unreachable: ${describeError(error)}.`, remedy: 'Check that it runs and that the address is right.', cause: error,
				});
			}

			// The pooled connection may be dead without having been closed, so the next call opens a new one.
			if (!fresh) {
				void this.closeConnections(address);
			}

			throw new RpcError({
				kind: 'no-answer', detail: `Peer ${address} gave no answer: ${describeError(error)}.`, remedy: 'Ask again; the call may have run.', cause: error,
			});
		} finally {
			if (fresh) {
				void dispatcher.destroy();
			}
		}
	}

	#pool(address: string): Pool {
		const known = this.#pools.get(address);
		if (known) {
			return known;
		}

		const pool = new Pool(`http://${address}`, {
			connections: MAX_CONNECTIONS_PER_PEER, factory: createGuardedClient, connect: {timeout: this.#connectTimeoutMs}, keepAliveTimeout: 30_000,
		});
		this.#pools.set(address, pool);
		return pool;
	}
}

const parseAnswer = (address: string, text: string): Answer => {
	try {
		return JSON.parse(text) as Answer;
	} catch (error) {
		throw new RpcError({
			kind: 'no-answer', detail: `Peer ${address} sent no JSON.`, remedy: 'Check that both processes run the same version.', cause: error,
		});
	}
};
