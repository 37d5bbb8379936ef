import type {Random} from '@yuccawood/common';
import type {ByteBudget} from './byte-budget.js';
import {
	CLAIMS_PER_MESSAGE, MAX_CLAIMS_PER_MESSAGE, MESSAGE_BYTES, TRANSMITS_PER_DIGIT,
} from './constants.js';
import type {MemberDirectory} from './member-directory.js';
import {
	claimOf, recordBytes, type Claim, type ExchangeMessage,
} from './messages.js';
import type {OwnRecord} from './own-record.js';
import type {MemberRecord} from './types.js';
import type {UpdateQueue} from './update-queue.js';

export type MessageComposerOptions = {
	readonly own: OwnRecord;
	readonly directory: MemberDirectory;
	readonly queue: UpdateQueue;
	readonly budget: ByteBudget;
	readonly random: Random;
	readonly highest: () => number;
	readonly messageBytes?: number;
};

/**
Builds messages of bounded size: records and claims that the peer asked for, then recent changes, then a few versions for comparison.

The versions run through the whole table, so that a change that the recent changes missed is found later.
*/
export class MessageComposer {
	readonly #options: Required<MessageComposerOptions>;
	#sweep: MemberRecord[] = [];

	constructor(options: MessageComposerOptions) {
		this.#options = {messageBytes: MESSAGE_BYTES, ...options};
	}

	/** @param owed members whose newer version the peer lacks. */
	compose({owed = [], wants = []}: {readonly owed?: readonly string[]; readonly wants?: readonly string[]} = {}): ExchangeMessage {
		const {own, directory, queue, budget, highest, messageBytes} = this.#options;
		const records: MemberRecord[] = [];
		const claims: Claim[] = [];
		const limit = this.#transmitLimit;
		let room = Math.min(messageBytes, budget.available);
		for (const id of new Set([...owed, ...queue.pending()])) {
			if (room <= 0 || claims.length >= MAX_CLAIMS_PER_MESSAGE) {
				break;
			}

			const record = id === own.record.id ? own.record : directory.get(id);
			const bytes = this.#append(id, record, {records, claims});
			room -= bytes;
			budget.spend(bytes);
			queue.sent(id, limit);
		}

		for (const record of this.#nextOfSweep(Math.min(CLAIMS_PER_MESSAGE, MAX_CLAIMS_PER_MESSAGE - claims.length))) {
			claims.push(claimOf(record));
		}

		return {
			from: claimOf(own.record), highest: highest(), records, claims, wants: wants.slice(0, MAX_CLAIMS_PER_MESSAGE),
		};
	}

	get #transmitLimit(): number {
		return TRANSMITS_PER_DIGIT * Math.ceil(Math.log10(this.#options.directory.live.length + 2));
	}

	/** Suspicions and deaths travel as claims, because the peer knows the description already. */
	#append(id: string, record: MemberRecord | undefined, {records, claims}: {readonly records: MemberRecord[]; readonly claims: Claim[]}): number {
		if (record && (record.status === 'alive' || record.status === 'leaving')) {
			records.push(record);
			return recordBytes(record);
		}

		const claim = this.#options.directory.versionOf(id);
		if (!claim) {
			return 0;
		}

		claims.push(claim);
		return JSON.stringify(claim).length;
	}

	#nextOfSweep(count: number): readonly MemberRecord[] {
		const {directory, random} = this.#options;
		if (this.#sweep.length === 0) {
			this.#sweep = [...random.sample(directory.live, directory.live.length)];
		}

		const taken = this.#sweep.splice(-count, count);
		return taken.map(({id}) => directory.get(id)).filter(record => record !== undefined);
	}
}
