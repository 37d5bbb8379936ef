import type {MemberDirectory} from './member-directory.js';
import {claimOf, type Claim, type ExchangeMessage} from './messages.js';
import type {Defence, OwnRecord} from './own-record.js';
import type {MemberRecord} from './types.js';
import type {UpdateQueue} from './update-queue.js';
import type {WantedRecords} from './missing-records.js';

/** What the peer should get in return. */
export type Followup = {
	readonly owed: readonly string[];
	readonly wants: readonly string[];
};

/** Applies received messages to the table. */
export class ExchangeHandler {
	readonly #own: OwnRecord;
	readonly #directory: MemberDirectory;
	readonly #queue: UpdateQueue;
	readonly #wanted: WantedRecords;
	readonly #onDefence: (defence: Defence, claim: Claim, record: MemberRecord | undefined) => void;

	constructor({own, directory, queue, wanted, onDefence}: {
		readonly own: OwnRecord;
		readonly directory: MemberDirectory;
		readonly queue: UpdateQueue;
		readonly wanted: WantedRecords;

		/** Called for each claim about this process that is newer than its own record. */
		readonly onDefence: (defence: Defence, claim: Claim, record: MemberRecord | undefined) => void;
	}) {
		this.#own = own;
		this.#directory = directory;
		this.#queue = queue;
		this.#wanted = wanted;
		this.#onDefence = onDefence;
	}

	apply(message: Pick<ExchangeMessage, 'from' | 'records' | 'claims' | 'wants'>): Followup {
		const owed = new Set(message.wants);
		const wants = new Set<string>();
		for (const record of message.records) {
			this.#wanted.remove(record.id);
			if (this.#applyRecord(record) === 'stale') {
				owed.add(record.id);
			}
		}

		for (const claim of [message.from, ...message.claims]) {
			const outcome = this.#applyClaim(claim);
			if (outcome === 'stale') {
				owed.add(claim[0]);
			} else if (outcome === 'unknown') {
				wants.add(claim[0]);
				this.#wanted.add(claim[0]);
			}
		}

		return {owed: [...owed], wants: [...wants]};
	}

	/** Applies records that the others know already, so that they are not sent on as changes. */
	load(records: readonly MemberRecord[]): void {
		for (const record of records) {
			this.#wanted.remove(record.id);
			if (record.id === this.#own.record.id) {
				this.#defend(claimOf(record), record);
			} else {
				this.#directory.apply(record);
			}
		}
	}

	/** Applies one record, own ones included. */
	#applyRecord(record: MemberRecord): 'changed' | 'same' | 'stale' | 'unknown' {
		if (record.id === this.#own.record.id) {
			return this.#defend(claimOf(record), record);
		}

		const outcome = this.#directory.apply(record);
		if (outcome === 'changed') {
			this.#queue.add(record.id);
		}

		return outcome;
	}

	#applyClaim(claim: Claim): 'changed' | 'same' | 'stale' | 'unknown' {
		const [id] = claim;
		if (id === this.#own.record.id) {
			return this.#defend(claim);
		}

		const outcome = this.#directory.applyClaim(claim);
		if (outcome === 'changed') {
			this.#queue.add(id);
		}

		return outcome;
	}

	#defend(claim: Claim, record?: MemberRecord): 'same' | 'stale' | 'unknown' {
		const {incarnation, sequence} = this.#own.record;
		const isOld = claim[1] < incarnation || (claim[1] === incarnation && claim[2] < sequence);
		const defence = this.#own.defend(claim);
		if (defence === 'none') {
			return isOld ? 'stale' : 'same';
		}

		this.#queue.add(claim[0]);
		this.#onDefence(defence, claim, record);
		return defence === 'contested' && !record ? 'unknown' : 'stale';
	}
}
