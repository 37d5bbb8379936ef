import type {Random} from '@yuccawood/common';
import type {ByteBudget} from './byte-budget.js';
import {
	COMPARED_CLAIMS_PER_MESSAGE, MAX_CLAIMS_WHILE_TABLES_DIFFER, MAX_CHANGES_PER_MESSAGE, MAX_WANTS_PER_MESSAGE, MESSAGE_BYTES, MIN_CHANGES_PER_MESSAGE, REPLY_RESERVE_BYTES, TRANSMISSIONS_PER_DIGIT,
} from './constants.js';
import {recordChecksum} from './record-order.js';
import type {MemberDirectory} from './member-directory.js';
import {
	claimOf, recordBytes, type Claim, type ExchangeMessage,
} from './messages.js';
import type {OwnRecord} from './own-record.js';
import type {MemberRecord} from './types.js';
import type {UpdateQueue} from './update-queue.js';
import type {MissingRecords} from './missing-records.js';

export type MessageComposerOptions = {
	readonly own: OwnRecord;
	readonly directory: MemberDirectory;
	readonly queue: UpdateQueue;
	readonly missing: MissingRecords;
	readonly budget: ByteBudget;
	readonly random: Random;

	/** Highest configuration revision that this process knows of. */
	readonly highestRevision: () => number;
	readonly messageBytes?: number;
};

/** Typical size of a claim in a message, in bytes. */
const CLAIM_BYTES = 48;

/**
Builds messages of bounded size: records that the peer lacks, then claims about recent changes, then a few claims for comparison.

Changes are sent as claims, that is versions without descriptions. A peer requests the records that it lacks, so each member receives a
description about once, however often the claim is repeated. The claims for comparison go through the whole table in random order, and
reveal changes that a peer has missed (anti-entropy).
*/
export class MessageComposer {
	readonly #options: Required<MessageComposerOptions>;

	/** Members still to be compared in the current pass through the table, in random order. */
	#uncomparedIds: string[] = [];
	#tablesDiffer = false;

	constructor(options: MessageComposerOptions) {
		this.#options = {messageBytes: MESSAGE_BYTES, ...options};
	}

	/**
	Builds the next message.

	@param idsToSend members of which the peer lacks the newest version.
	*/
	compose({idsToSend = [], wants = [], isBrief = false}: {
		readonly idsToSend?: readonly string[];
		readonly wants?: readonly string[];
		readonly isBrief?: boolean;
	} = {}): ExchangeMessage {
		const {own, highestRevision, missing} = this.#options;
		const {records, claims} = this.#recordsAndClaims(idsToSend);
		const additionalClaims = isBrief ? [] : [...this.#changedClaims(new Set(idsToSend)), ...this.#claimsToCompare()];
		return {
			from: claimOf(own.record),
			highest: highestRevision(),
			checksum: this.checksum,
			records,
			claims: [...claims, ...additionalClaims],
			wants: [...new Set([...wants, ...missing.nextToRequest(MAX_WANTS_PER_MESSAGE)])].slice(0, MAX_WANTS_PER_MESSAGE),
		};
	}

	/** Checksum of the whole table, this process included. */
	get checksum(): number {
		return this.#options.directory.checksum + recordChecksum(this.#options.own.record);
	}

	/** Compares the checksum of a peer's table with the own one. While they differ, messages contain more claims for comparison. */
	comparePeerChecksum(checksum: number): void {
		this.#tablesDiffer = checksum !== this.checksum;
	}

	/** Suspicions and deaths are sent as claims, because the peer knows the description already. */
	#recordsAndClaims(ids: readonly string[]): {readonly records: readonly MemberRecord[]; readonly claims: readonly Claim[]} {
		const {own, directory, queue, budget, messageBytes} = this.#options;
		const records: MemberRecord[] = [];
		const claims: Claim[] = [];
		let remainingBytes = Math.min(messageBytes, budget.available);
		for (const id of ids) {
			if (remainingBytes <= 0) {
				break;
			}

			const record = id === own.record.id ? own.record : directory.get(id);
			const claim = directory.latestClaim(id);
			let bytes = CLAIM_BYTES;
			if (record && (record.status === 'alive' || record.status === 'leaving')) {
				records.push(record);
				bytes = recordBytes(record);
			} else if (claim) {
				claims.push(claim);
			}

			remainingBytes -= bytes;
			budget.spend(bytes);
			queue.recordTransmission(id, this.#transmissionLimit);
		}

		return {records, claims};
	}

	#changedClaims(excluded: ReadonlySet<string>): readonly Claim[] {
		const {own, directory, queue, budget} = this.#options;
		const count = Math.min(MAX_CHANGES_PER_MESSAGE, Math.max(MIN_CHANGES_PER_MESSAGE, Math.floor(budget.available / CLAIM_BYTES)));
		const pending = queue.pending().filter(id => !excluded.has(id));
		const isUrgent = (id: string): boolean => directory.get(id)?.status !== 'alive';
		const ids = [...pending.filter(id => isUrgent(id)), ...pending.filter(id => !isUrgent(id))].slice(0, count);
		for (const id of ids) {
			queue.recordTransmission(id, this.#transmissionLimit);
		}

		// Every message contains the own version in its `from` field.
		const claims = ids.filter(id => id !== own.record.id).map(id => directory.latestClaim(id)).filter(claim => claim !== undefined);
		budget.spend(claims.length * CLAIM_BYTES);
		return claims;
	}

	/** Number of times that a change is sent. It grows with the logarithm of the number of members. */
	get #transmissionLimit(): number {
		return TRANSMISSIONS_PER_DIGIT * Math.ceil(Math.log10(this.#options.directory.live.length + 2));
	}

	#claimsToCompare(): readonly Claim[] {
		const {directory, random, budget} = this.#options;
		if (this.#uncomparedIds.length === 0) {
			this.#uncomparedIds = random.sample(directory.live, directory.live.length).map(({id}) => id);
		}

		const count = this.#tablesDiffer && budget.available > REPLY_RESERVE_BYTES ? MAX_CLAIMS_WHILE_TABLES_DIFFER : COMPARED_CLAIMS_PER_MESSAGE;
		const claims = this.#uncomparedIds.splice(-count, count).map(id => directory.latestClaim(id)).filter(claim => claim !== undefined);
		budget.spend(Math.max(0, claims.length - COMPARED_CLAIMS_PER_MESSAGE) * CLAIM_BYTES);
		return claims;
	}
}
