/** HTTP adapter of a model engine's weight management. */
import {DEFAULT_CALL_TIMEOUT_MS, DEFAULT_ENGINE_TIMEOUT_MS} from './constants.js';
import {HttpClient} from './http-client.js';
import type {
	EngineState, LoadOrder, ModelEngine, Order, Outcome,
} from './types.js';
import {
	ENGINE_ACTIVATE_PATH, ENGINE_CHUNKS_PATH, ENGINE_LOAD_PATH, ENGINE_STATE_PATH, ENGINE_UNLOAD_PATH,
} from './wire.js';

export class HttpModelEngine implements ModelEngine {
	readonly #caller: HttpClient;

	/** @param timeoutMs time limit of commands and chunk uploads; reading the state has the shorter {@link DEFAULT_CALL_TIMEOUT_MS} */
	constructor({address, timeoutMs = DEFAULT_ENGINE_TIMEOUT_MS}: {readonly address: string; readonly timeoutMs?: number}) {
		this.#caller = new HttpClient({address, timeoutMs});
	}

	readonly state = async (): Outcome<EngineState> => this.#caller.json(ENGINE_STATE_PATH, {timeoutMs: DEFAULT_CALL_TIMEOUT_MS});

	readonly putChunk = async (hash: string, data: Uint8Array): Outcome<void> => this.#caller.json<void>(`${ENGINE_CHUNKS_PATH}/${hash}`, {method: 'PUT', body: data});

	readonly load = async (order: LoadOrder): Outcome<string> => {
		const answer = await this.#caller.json<{readonly manifest: string}>(ENGINE_LOAD_PATH, {method: 'POST', value: order});
		return answer.map(({manifest}) => manifest);
	};

	readonly activate = async (order: Order): Outcome<void> => this.#caller.json<void>(ENGINE_ACTIVATE_PATH, {method: 'POST', value: order});

	readonly unload = async (order: Order): Outcome<void> => this.#caller.json<void>(ENGINE_UNLOAD_PATH, {method: 'POST', value: order});

	/** Closes all connections; calls in progress fail. */
	readonly close = async (): Promise<void> => this.#caller.close();
}
