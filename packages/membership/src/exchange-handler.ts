import type {MemberDirectory} from './member-directory.js';
import {claimOf, type Claim, type ExchangeMessage} from './messages.js';
import type {OwnClaimOutcome, OwnRecord} from './own-record.js';
import type {MemberRecord} from './types.js';
import type {UpdateQueue} from './update-queue.js';
import type {MissingRecords} from './missing-records.js';

/** What the next message to the peer should contain. */
export type Followup = {
	/** Members of which the peer has an older version. */
	readonly idsToSend: readonly string[];

	/** Members whose records this process lacks or has in an older version. */
	readonly wants: readonly string[];
};

/** Applies received messages to the table. */
export class ExchangeHandler {
	readonly #own: OwnRecord;
	readonly #directory: MemberDirectory;
	readonly #queue: UpdateQueue;
	readonly #missing: MissingRecords;
	readonly #onClaimAboutSelf: (outcome: OwnClaimOutcome, claim: Claim, record: MemberRecord | undefined) => void;

	constructor({own, directory, queue, missing, onClaimAboutSelf}: {
		readonly own: OwnRecord;
		readonly directory: MemberDirectory;
		readonly queue: UpdateQueue;
		readonly missing: MissingRecords;

		/** Called for each claim about this process that is newer than its own record. */
		readonly onClaimAboutSelf: (outcome: OwnClaimOutcome, claim: Claim, record: MemberRecord | undefined) => void;
	}) {
		this.#own = own;
		this.#directory = directory;
		this.#queue = queue;
		this.#missing = missing;
		this.#onClaimAboutSelf = onClaimAboutSelf;
	}

	/** Merges records and claims. A record of which the sender has an older version is sent back; an unknown one is requested. */
	apply(message: Pick<ExchangeMessage, 'from' | 'records' | 'claims' | 'wants'>): Followup {
		const idsToSend = new Set(message.wants);
		const wants = new Set<string>();
		for (const record of message.records) {
			this.#missing.remove(record.id);
			if (this.#applyRecord(record) === 'stale') {
				idsToSend.add(record.id);
			}
		}

		for (const claim of [message.from, ...message.claims]) {
			const outcome = this.#applyClaim(claim);
			if (outcome === 'stale') {
				idsToSend.add(claim[0]);
			} else if (outcome === 'unknown') {
				wants.add(claim[0]);
				this.#missing.add(claim[0]);
			}
		}

		return {idsToSend: [...idsToSend], wants: [...wants]};
	}

	/** Applies records of a table page without queueing them as changes, because the other members know them already. */
	load(records: readonly MemberRecord[]): void {
		for (const record of records) {
			this.#missing.remove(record.id);
			if (record.id === this.#own.record.id) {
				this.#handleClaimAboutSelf(claimOf(record), record);
			} else {
				this.#directory.apply(record);
			}
		}
	}

	/** Applies one record, which may be about this process. */
	#applyRecord(record: MemberRecord): 'changed' | 'same' | 'stale' | 'unknown' {
		if (record.id === this.#own.record.id) {
			return this.#handleClaimAboutSelf(claimOf(record), record);
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
			return this.#handleClaimAboutSelf(claim);
		}

		const outcome = this.#directory.applyClaim(claim);
		if (outcome === 'changed') {
			this.#queue.add(id);
		}

		return outcome;
	}

	/** Handles a claim about this process and reports what to send: `stale` sends the own record, `unknown` requests the record of the claim. */
	#handleClaimAboutSelf(claim: Claim, record?: MemberRecord): 'same' | 'stale' | 'unknown' {
		const {incarnation, sequence} = this.#own.record;
		const isOlder = claim[1] < incarnation || (claim[1] === incarnation && claim[2] < sequence);
		const outcome = this.#own.handleClaim(claim);
		if (outcome === 'none') {
			return isOlder ? 'stale' : 'same';
		}

		this.#queue.add(claim[0]);
		this.#onClaimAboutSelf(outcome, claim, record);
		return outcome === 'contested' && !record ? 'unknown' : 'stale';
	}
}
