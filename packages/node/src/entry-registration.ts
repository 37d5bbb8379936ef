/** Keeps this entry registered in the store under a lease. Entries use the list to divide shared limits and to find peers. */
import {delay, type Log} from '@yuccawood/common';
import {ENTRY_PREFIX, type StoreClient} from '@yuccawood/platform';
import {ENTRY_LEASE_RENEWAL_MS, ENTRY_LEASE_MS} from './constants.js';

export type EntryRegistrationOptions = {
	readonly store: Pick<StoreClient, 'grantLease' | 'renewLease' | 'endLease' | 'put'>;
	readonly id: string;
	readonly address: string;

	/** Whether the list contains this entry, as far as it has been read. */
	readonly isListed: () => boolean;
	readonly log: Log;

	/** Interval at which the lease is renewed, in milliseconds. */
	readonly renewalMs?: number;
};

export class EntryRegistration {
	readonly #options: EntryRegistrationOptions;
	readonly #log: Log;
	#lease: number | undefined;
	#isWritten = false;

	constructor(options: EntryRegistrationOptions) {
		this.#options = options;
		this.#log = options.log.part('presence');
	}

	async run(signal: AbortSignal): Promise<void> {
		const {store, renewalMs = ENTRY_LEASE_RENEWAL_MS} = this.#options;
		while (!signal.aborted) {
			await this.#renewOrRegister();
			await delay(renewalMs, signal);
		}

		if (this.#lease !== undefined) {
			await store.endLease(this.#lease);
		}
	}

	async #renewOrRegister(): Promise<void> {
		await this.#renewLease();
		this.#lease ??= await this.#grantLease();
		if (this.#lease !== undefined && !this.#isWritten) {
			await this.#write(this.#lease);
		}
	}

	async #renewLease(): Promise<void> {
		if (this.#lease === undefined) {
			return;
		}

		const renewed = await this.#options.store.renewLease(this.#lease);
		if (renewed.err && renewed.val.kind === 'lease-expired') {
			this.#log.warn('The lease of this entry expired; registering again.', {lease: this.#lease});
			this.#lease = undefined;
			this.#isWritten = false;
		} else if (this.#isWritten && !this.#options.isListed()) {
			// A write of an earlier process, which took effect late, may have tied the key to a lease that has ended since.
			this.#log.warn('This entry is not listed; registering again.', {lease: this.#lease});
			this.#isWritten = false;
		}
	}

	async #grantLease(): Promise<number | undefined> {
		const lease = await this.#options.store.grantLease(ENTRY_LEASE_MS);
		if (lease.err) {
			this.#log.warn('This entry could not be registered in the store; trying again.', {error: lease.val.message});
			return undefined;
		}

		return lease.val.id;
	}

	/** A write without an answer is repeated under the same lease, so that it does no harm if it takes effect later. */
	async #write(lease: number): Promise<void> {
		const {store, id, address} = this.#options;
		const written = await store.put([{key: `${ENTRY_PREFIX}${id}`, value: address, lease}]);
		this.#isWritten = written.ok;
		if (written.err) {
			this.#log.warn('This entry could not be registered in the store; trying again.', {error: written.val.message});
		}
	}
}
