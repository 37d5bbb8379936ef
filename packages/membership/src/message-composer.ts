import type {Random} from '@yuccawood/common';
import type {ByteBudget} from './byte-budget.js';
import {
	CLAIMS_PER_MESSAGE, CLAIMS_WHILE_DIFFERENT, MAX_CHANGES_PER_MESSAGE, MAX_WANTS_PER_MESSAGE, MESSAGE_BYTES, MIN_CHANGES_PER_MESSAGE, RESERVE_BYTES, TRANSMITS_PER_DIGIT,
} from './constants.js';
import {checksumOf} from './record-order.js';
import type {MemberDirectory} from './member-directory.js';
import {
	claimOf, recordBytes, type Claim, type ExchangeMessage,
} from './messages.js';
import type {OwnRecord} from './own-record.js';
import type {MemberRecord} from './types.js';
import type {UpdateQueue} from './update-queue.js';
import type {WantedRecords} from './missing-records.js';

export type MessageComposerOptions = {
	readonly own: OwnRecord;
	readonly directory: MemberDirectory;
	readonly queue: UpdateQueue;
	readonly wanted: WantedRecords;
	readonly budget: ByteBudget;
	readonly random: Random;
	readonly highest: () => number;
	readonly messageBytes?: number;
};

/** Typical size of a claim in a message. */
const CLAIM_BYTES = 48;

/**
Builds messages of bounded size: records that the peer lacks, then versions of recent changes, then a few versions for comparison.

A peer asks for the records of versions that it does not know, so a description is sent to each member about once, however often
its version is repeated. The versions for comparison run through the whole table and find what the recent changes missed.
*/
export class MessageComposer {
	readonly #options: Required<MessageComposerOptions>;
	#sweep: string[] = [];
	#isDifferent = false;

	constructor(options: MessageComposerOptions) {
		this.#options = {messageBytes: MESSAGE_BYTES, ...options};
	}

	/** @param owed members whose newer version the peer lacks. */
	compose({owed = [], wants = [], isBrief = false}: {
		readonly owed?: readonly string[];
		readonly wants?: readonly string[];
		readonly isBrief?: boolean;
	} = {}): ExchangeMessage {
		const {own, highest, wanted} = this.#options;
		const {records, claims} = this.#owed(owed);
		const extra = isBrief ? [] : [...this.#changes(new Set(owed)), ...this.#nextOfSweep()];
		return {
			from: claimOf(own.record),
			highest: highest(),
			checksum: this.checksum,
			records,
			claims: [...claims, ...extra],
			wants: [...new Set([...wants, ...wanted.next(MAX_WANTS_PER_MESSAGE)])].slice(0, MAX_WANTS_PER_MESSAGE),
		};
	}

	/** Checksum of the whole table. */
	get checksum(): number {
		return this.#options.directory.checksum + checksumOf(this.#options.own.record);
	}

	/** Notes whether the peer's table differs, which makes the next messages compare more versions. */
	compare(checksum: number): void {
		this.#isDifferent = checksum !== this.checksum;
	}

	/** Suspicions and deaths travel as claims, because the peer knows the description already. */
	#owed(ids: readonly string[]): {readonly records: readonly MemberRecord[]; readonly claims: readonly Claim[]} {
		const {own, directory, queue, budget, messageBytes} = this.#options;
		const records: MemberRecord[] = [];
		const claims: Claim[] = [];
		let room = Math.min(messageBytes, budget.available);
		for (const id of ids) {
			if (room <= 0) {
				break;
			}

			const record = id === own.record.id ? own.record : directory.get(id);
			const claim = directory.versionOf(id);
			let bytes = CLAIM_BYTES;
			if (record && (record.status === 'alive' || record.status === 'leaving')) {
				records.push(record);
				bytes = recordBytes(record);
			} else if (claim) {
				claims.push(claim);
			}

			room -= bytes;
			budget.spend(bytes);
			queue.sent(id, this.#transmitLimit);
		}

		return {records, claims};
	}

	#changes(without: ReadonlySet<string>): readonly Claim[] {
		const {own, directory, queue, budget} = this.#options;
		const count = Math.min(MAX_CHANGES_PER_MESSAGE, Math.max(MIN_CHANGES_PER_MESSAGE, Math.floor(budget.available / CLAIM_BYTES)));
		const pending = queue.pending().filter(id => !without.has(id));
		const isUrgent = (id: string): boolean => directory.get(id)?.status !== 'alive';
		const ids = [...pending.filter(id => isUrgent(id)), ...pending.filter(id => !isUrgent(id))].slice(0, count);
		for (const id of ids) {
			queue.sent(id, this.#transmitLimit);
		}

		// The own version stands in every message as its sender.
		const claims = ids.filter(id => id !== own.record.id).map(id => directory.versionOf(id)).filter(claim => claim !== undefined);
		budget.spend(claims.length * CLAIM_BYTES);
		return claims;
	}

	get #transmitLimit(): number {
		return TRANSMITS_PER_DIGIT * Math.ceil(Math.log10(this.#options.directory.live.length + 2));
	}

	#nextOfSweep(): readonly Claim[] {
		const {directory, random, budget} = this.#options;
		if (this.#sweep.length === 0) {
			this.#sweep = random.sample(directory.live, directory.live.length).map(({id}) => id);
		}

		const count = this.#isDifferent && budget.available > RESERVE_BYTES ? CLAIMS_WHILE_DIFFERENT : CLAIMS_PER_MESSAGE;
		const claims = this.#sweep.splice(-count, count).map(id => directory.versionOf(id)).filter(claim => claim !== undefined);
		budget.spend(Math.max(0, claims.length - CLAIMS_PER_MESSAGE) * CLAIM_BYTES);
		return claims;
	}
}
