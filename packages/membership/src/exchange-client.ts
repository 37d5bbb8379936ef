import type {PeerClient} from '@yuccawood/common';
import {NOTICE_TIMEOUT_MS} from './constants.js';
import type {Followup} from './exchange-handler.js';
import type {LeaveNotice} from './leave-notice.js';
import type {MessageComposer} from './message-composer.js';
import {claimOf, type ExchangeMessage, type PingAnswer} from './messages.js';
import type {PagedAnswer, TablePage} from './table-pages.js';
import type {MemberRecord} from './types.js';

/** Calls the membership methods of peers. */
export class ExchangeClient {
	readonly #peerClient: Pick<PeerClient, 'call'>;
	readonly #composer: MessageComposer;
	readonly #apply: (message: ExchangeMessage) => Followup;
	readonly #pingTimeoutMs: number;
	readonly #indirectPingTimeoutMs: number;
	readonly #pageTimeoutMs: number;

	constructor({peerClient, composer, apply, pingTimeoutMs, indirectPingTimeoutMs, pageTimeoutMs}: {
		readonly peerClient: Pick<PeerClient, 'call'>;
		readonly composer: MessageComposer;
		readonly apply: (message: ExchangeMessage) => Followup;
		readonly pingTimeoutMs: number;
		readonly indirectPingTimeoutMs: number;
		readonly pageTimeoutMs: number;
	}) {
		this.#peerClient = peerClient;
		this.#composer = composer;
		this.#apply = apply;
		this.#pingTimeoutMs = pingTimeoutMs;
		this.#indirectPingTimeoutMs = indirectPingTimeoutMs;
		this.#pageTimeoutMs = pageTimeoutMs;
	}

	/** Exchanges messages with a member. Rejects if it gives no answer or another process has its address. */
	readonly exchangeWith = async (member: MemberRecord): Promise<void> => {
		// A suspect is told of the suspicion so that it can refute it.
		const owed = member.status === 'suspect' ? [member.id] : [];
		const answer = await this.exchange(member.address, owed);
		if (answer.from[0] !== member.id) {
			throw new Error(`Address ${member.address} belongs to ${answer.from[0]}.`);
		}
	};

	/** Exchanges messages with whatever process has the address. A second message follows if the two tables differ. */
	async exchange(address: string, owed: readonly string[] = []): Promise<ExchangeMessage> {
		const answer = await this.#call(address, this.#composer.compose({owed}), this.#pingTimeoutMs);
		const followup = this.#apply(answer);
		if (followup.owed.length > 0 || followup.wants.length > 0) {
			this.#apply(await this.#call(address, this.#composer.compose(followup), this.#pingTimeoutMs));
		}

		return answer;
	}

	/** Reads one page of the table, and introduces this process to its sender. */
	async readPage(address: string, {after, selfId}: {readonly after: string; readonly selfId: string}): Promise<TablePage> {
		const message = {...this.#composer.compose({owed: [selfId]}), pageAfter: after};
		const {page = [], next, isBusy, ...answer} = await this.#call(address, message, this.#pageTimeoutMs);
		this.#apply(answer);
		return {page, next, isBusy};
	}

	/** Tells a member the record of this process. */
	async introduce(address: string, record: MemberRecord): Promise<void> {
		const message: ExchangeMessage = {
			from: claimOf(record), highest: record.revision, checksum: this.#composer.checksum, records: [record], claims: [], wants: [], isBrief: true,
		};
		this.#apply(await this.#call(address, message, this.#pingTimeoutMs));
	}

	/** Sends a notice that a member is leaving or has ended. */
	async notify(address: string, notice: LeaveNotice): Promise<void> {
		await this.#peerClient.call(address, 'membership.leave', notice, {timeoutMs: NOTICE_TIMEOUT_MS});
	}

	/** Asks a helper to ping a member. */
	readonly pingVia = async (helper: MemberRecord, {id, address}: MemberRecord): Promise<boolean> => {
		try {
			return await this.#peerClient.call<boolean>(helper.address, 'membership.pingVia', {id, address}, {timeoutMs: this.#indirectPingTimeoutMs});
		} catch {
			return false;
		}
	};

	/** Pings an address over a new connection. @returns undefined if there is no answer. */
	async ping(address: string): Promise<PingAnswer | undefined> {
		try {
			return await this.#peerClient.call<PingAnswer>(address, 'membership.ping', {}, {timeoutMs: this.#pingTimeoutMs, fresh: true});
		} catch {
			return undefined;
		}
	}

	async #call(address: string, message: ExchangeMessage, timeoutMs: number): Promise<PagedAnswer> {
		return this.#peerClient.call<PagedAnswer>(address, 'membership.exchange', message, {timeoutMs});
	}
}
