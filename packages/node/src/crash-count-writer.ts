/** Shares what is blocked because upstreams crashed under it with entries that start later. */
import {delay, type Log, type Random} from '@yuccawood/common';
import type {FleetView} from '@yuccawood/fleet';
import {CRASH_PREFIX, type StoreClient} from '@yuccawood/platform';
import {
	CRASH_COUNT_LEASE_MS, CRASH_WRITE_ATTEMPTS, CRASH_WRITE_JITTER_MS, CRASH_WRITE_PAUSE_MS,
} from './constants.js';

export type CrashCountWriterOptions = {
	readonly store: Pick<StoreClient, 'grantLease' | 'put' | 'remove'>;
	readonly view: Pick<FleetView, 'crashCounts'>;
	readonly random: Random;
	readonly log: Log;
};

/**
Shares the crash counts of blocked suspects through the store, for entries that start later or were not reached. All entries
come to the same result at about the same time, so each waits for a random time and writes only what is still missing.
*/
export class CrashCountWriter {
	readonly #options: CrashCountWriterOptions;

	/** Counts that are to be in the store, by suspect; 0 if none is to be. */
	readonly #wanted = new Map<string, number>();

	constructor(options: CrashCountWriterOptions) {
		this.#options = options;
	}

	readonly share = (id: string, crashes: number): void => {
		const isWriting = this.#wanted.has(id);
		this.#wanted.set(id, crashes);
		if (!isWriting) {
			void this.#write(id);
		}
	};

	async #write(id: string): Promise<void> {
		const {random, log, view} = this.#options;
		await delay(random.next() * CRASH_WRITE_JITTER_MS);
		for (let attempt = 0; attempt < CRASH_WRITE_ATTEMPTS; attempt++) {
			const crashes = this.#wanted.get(id) ?? 0;
			const isDone = view.crashCounts.has(id) === (crashes > 0);
			const error = isDone ? undefined : await this.#writeOnce(id, crashes);
			if (error === undefined && this.#wanted.get(id) === crashes) {
				break;
			}

			if (error) {
				log.info('A crash count could not be shared with the other entries.', {suspect: id, crashes, error: error.message});
				await delay(CRASH_WRITE_PAUSE_MS);
			}
		}

		this.#wanted.delete(id);
	}

	/** @returns the error if the store did not confirm the write */
	async #writeOnce(id: string, crashes: number): Promise<Error | undefined> {
		const {store} = this.#options;
		const key = `${CRASH_PREFIX}${id}`;
		if (crashes === 0) {
			const removed = await store.remove([key]);
			return removed.err ? removed.val : undefined;
		}

		const lease = await store.grantLease(CRASH_COUNT_LEASE_MS);
		const written = lease.ok ? await store.put([{key, value: String(crashes), lease: lease.val.id}]) : lease;
		return written.err ? written.val : undefined;
	}
}
