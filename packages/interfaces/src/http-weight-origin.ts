/** HTTP adapter of the origin of weights. */
import {DEFAULT_ORIGIN_IDLE_TIMEOUT_MS} from './constants.js';
import {HttpClient} from './http-client.js';
import type {Outcome, WeightOrigin} from './types.js';
import {CHUNKS_PATH, MANIFESTS_PATH} from './wire.js';

export class HttpWeightOrigin implements WeightOrigin {
	readonly #caller: HttpClient;

	/** @param timeoutMs time without data after which a call fails */
	constructor({address, timeoutMs = DEFAULT_ORIGIN_IDLE_TIMEOUT_MS}: {readonly address: string; readonly timeoutMs?: number}) {
		this.#caller = new HttpClient({address, timeoutMs});
	}

	readonly manifest = async (hash: string, signal?: AbortSignal): Outcome<Uint8Array> => this.#read(`${MANIFESTS_PATH}/${hash}`, signal);

	readonly chunk = async (hash: string, signal?: AbortSignal): Outcome<Uint8Array> => this.#read(`${CHUNKS_PATH}/${hash}`, signal);

	/** Closes all connections; calls in progress fail. */
	readonly close = async (): Promise<void> => this.#caller.close();

	async #read(path: string, signal: AbortSignal | undefined): Outcome<Uint8Array> {
		const answer = await this.#caller.call(path, {isIdleTimeout: true, signal});
		return answer.map(bytes => bytes ?? new Uint8Array(0));
	}
}
