/** HTTP adapter of the list of VMs. */
import {DEFAULT_CALL_TIMEOUT_MS} from './constants.js';
import {HttpClient} from './http-client.js';
import type {Outcome, VmList, VmState} from './types.js';
import {VMS_PATH} from './wire.js';

export class HttpVmList implements VmList {
	readonly #caller: HttpClient;

	constructor({address, timeoutMs = DEFAULT_CALL_TIMEOUT_MS}: {readonly address: string; readonly timeoutMs?: number}) {
		this.#caller = new HttpClient({address, timeoutMs});
	}

	readonly list = async (): Outcome<readonly VmState[]> => this.#caller.json(VMS_PATH);

	/** Closes all connections; calls in progress fail. */
	readonly close = async (): Promise<void> => this.#caller.close();
}
