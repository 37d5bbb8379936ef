/** Keeps this entry registered in the store under a lease. Entries use the list to divide shared limits and to find peers. */
import {delay, type Log} from '@yuccawood/common';
import {ENTRY_PREFIX, type StoreClient} from '@yuccawood/platform';
import {ENTRY_LEASE_RENEWAL_MS, ENTRY_LEASE_MS} from './constants.js';

export class EntryRegistration {
	readonly #store: StoreClient;
	readonly #key: string;
	readonly #address: string;
	readonly #log: Log;
	#lease: number | undefined;

	constructor({store, id, address, log}: {readonly store: StoreClient; readonly id: string; readonly address: string; readonly log: Log}) {
		this.#store = store;
		this.#key = `${ENTRY_PREFIX}${id}`;
		this.#address = address;
		this.#log = log.part('presence');
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#renewOrRegister();
			await delay(ENTRY_LEASE_RENEWAL_MS, signal);
		}

		if (this.#lease !== undefined) {
			await this.#store.endLease(this.#lease);
		}
	}

	async #renewOrRegister(): Promise<void> {
		if (this.#lease !== undefined) {
			const renewed = await this.#store.renewLease(this.#lease);
			if (renewed.ok || renewed.val.kind !== 'lease-expired') {
				return;
			}

			this.#log.warn('The lease of this entry expired; registering again.', {lease: this.#lease});
			this.#lease = undefined;
		}

		const lease = await this.#store.grantLease(ENTRY_LEASE_MS);
		if (lease.err) {
			this.#log.warn('This entry could not be registered in the store; trying again.', {error: lease.val.message});
			return;
		}

		const written = await this.#store.put([{key: this.#key, value: this.#address, lease: lease.val.id}]);
		if (written.err) {
			this.#log.warn('This entry could not be registered in the store; trying again.', {error: written.val.message});
			return;
		}

		this.#lease = lease.val.id;
	}
}
