import type {Log, Metrics} from '@yuccawood/common';
import type {ExchangeClient} from './exchange-client.js';
import type {Claim} from './messages.js';
import type {OwnRecord} from './own-record.js';
import type {MemberRecord} from './types.js';

/**
Handles claims about this process's id with a higher incarnation.

They come either from an earlier process whose wall clock was ahead, or from another process that runs with the same id now.
*/
export class IdConflictResolver {
	readonly #own: OwnRecord;
	readonly #client: ExchangeClient;
	readonly #log: Log;
	readonly #metrics: Metrics;
	readonly #onRaised: () => void;
	readonly #onSuperseded: () => void;
	#isSuperseded = false;

	constructor({own, client, log, metrics, onRaised, onSuperseded}: {
		readonly own: OwnRecord;
		readonly client: ExchangeClient;
		readonly log: Log;
		readonly metrics: Metrics;
		readonly onRaised: () => void;
		readonly onSuperseded: () => void;
	}) {
		this.#own = own;
		this.#client = client;
		this.#log = log;
		this.#metrics = metrics;
		this.#onRaised = onRaised;
		this.#onSuperseded = onSuperseded;
	}

	/** Resolves a claim with a higher incarnation. While this process starts, the claim is taken to describe an earlier process. */
	async resolve([, incarnation, , status]: Claim, {record, isStarting}: {readonly record?: MemberRecord; readonly isStarting: boolean}): Promise<void> {
		if (this.#isSuperseded) {
			return;
		}

		if (isStarting || status === 'dead' || record?.address === this.#own.record.address) {
			this.#raise(incarnation);
			return;
		}

		// Without a record there is no address to ping. The record has been requested and arrives with a later message.
		if (!record) {
			return;
		}

		const answer = await this.#client.ping(record.address);
		if (answer?.id !== record.id || answer.incarnation < incarnation) {
			this.#raise(incarnation);
			return;
		}

		this.#isSuperseded = true;
		this.#metrics.count('membership.superseded');
		this.#log.error('Another process runs with this id. Stop one of the two.', {id: record.id, address: record.address});
		this.#onSuperseded();
	}

	#raise(incarnation: number): void {
		if (incarnation < this.#own.record.incarnation) {
			return;
		}

		this.#own.raiseAbove(incarnation);
		this.#onRaised();
	}
}
