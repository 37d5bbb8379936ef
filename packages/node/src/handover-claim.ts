/**
Claim in the store that at most one stopping entry holds. One that has used it does not give it back, so that for the time of
the lease no other entry stays ready for longer than all may.
*/
import type {Log} from '@yuccawood/common';
import {HANDOVER_KEY, type StoreClient} from '@yuccawood/platform';
import {HANDOVER_CLAIM_MS} from './constants.js';

/** Right to stay ready for longer than other stopping entries. */
export interface HandoverClaim {
	/** Resolves with whether this process holds the claim. False if the store refuses it or does not answer. */
	readonly take: () => Promise<boolean>;

	/** Ends a claim that was granted and not used. */
	readonly giveBack: () => Promise<void>;
}

export class StoreClaim implements HandoverClaim {
	readonly #store: Pick<StoreClient, 'grantLease' | 'endLease' | 'replace'>;
	readonly #vm: string;
	readonly #log: Log;
	#leaseId: number | undefined;

	constructor({store, vm, log}: {readonly store: Pick<StoreClient, 'grantLease' | 'endLease' | 'replace'>; readonly vm: string; readonly log: Log}) {
		this.#store = store;
		this.#vm = vm;
		this.#log = log.part('presence');
	}

	readonly take = async (): Promise<boolean> => {
		const lease = await this.#store.grantLease(HANDOVER_CLAIM_MS);
		if (lease.ok && lease.val.ttlMs < HANDOVER_CLAIM_MS) {
			this.#log.info('The store grants no claim to stay ready that lasts.', {ttlMs: lease.val.ttlMs, neededMs: HANDOVER_CLAIM_MS});
			await this.#store.endLease(lease.val.id);
			return false;
		}

		const written = lease.ok ? await this.#store.replace({key: HANDOVER_KEY, value: this.#vm, lease: lease.val.id}, 0) : lease;
		this.#leaseId = lease.ok && written.ok ? lease.val.id : undefined;
		this.#log.info('Claim to stay ready as the last entry.', {isGranted: written.ok, error: written.err ? written.val.message : undefined});
		return written.ok;
	};

	readonly giveBack = async (): Promise<void> => {
		if (this.#leaseId !== undefined) {
			const ended = await this.#store.endLease(this.#leaseId);
			this.#log.info('Unused claim to stay ready is given back.', {isEnded: ended.ok});
		}
	};
}
