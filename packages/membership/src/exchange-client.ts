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
		// A suspected member is sent the suspicion so that it can refute it.
		const idsToSend = member.status === 'suspect' ? [member.id] : [];
		const answer = await this.exchange(member.address, idsToSend);
		if (answer.from[0] !== member.id) {
			throw new Error(`Address ${member.address} belongs to ${answer.from[0]}.`);
		}
	};

	/** Exchanges messages with the process at the address, whatever its id. Sends a second message if one side has records that the other lacks. */
	async exchange(address: string, idsToSend: readonly string[] = []): Promise<ExchangeMessage> {
		const answer = await this.#call(address, this.#composer.compose({idsToSend}), this.#pingTimeoutMs);
		const followup = this.#apply(answer);
		if (followup.idsToSend.length > 0 || followup.wants.length > 0) {
			this.#apply(await this.#call(address, this.#composer.compose(followup), this.#pingTimeoutMs));
		}

		return answer;
	}

	/** Reads one page of a peer's table, and sends that peer the record of this process. */
	async readPage(address: string, {after, selfId}: {readonly after: string; readonly selfId: string}): Promise<TablePage> {
		const message = {...this.#composer.compose({idsToSend: [selfId]}), pageAfter: after};
		const {page = [], next, isBusy, ...answer} = await this.#call(address, message, this.#pageTimeoutMs);
		this.#apply(answer);
		return {page, next, isBusy};
	}

	/** Sends a member the record of this process. */
	async announce(address: string, record: MemberRecord): Promise<void> {
		const message: ExchangeMessage = {
			from: claimOf(record), highest: record.revision, checksum: this.#composer.checksum, records: [record], claims: [], wants: [], isBrief: true,
		};
		this.#apply(await this.#call(address, message, this.#pingTimeoutMs));
	}

	/** Sends a notice that a member is leaving or has ended. */
	async notify(address: string, notice: LeaveNotice): Promise<void> {
		await this.#peerClient.call(address, 'membership.leave', notice, {timeoutMs: NOTICE_TIMEOUT_MS});
	}

	/** Asks an intermediary to ping a member. @returns false if the intermediary or the member gives no answer. */
	readonly pingVia = async (intermediary: MemberRecord, {id, address}: MemberRecord): Promise<boolean> => {
		try {
			return await this.#peerClient.call<boolean>(intermediary.address, 'membership.pingVia', {id, address}, {timeoutMs: this.#indirectPingTimeoutMs});
		} catch {
			return false;
		}
	};

	/** Pings an address over a new connection. @returns undefined if no answer arrives in time. */
	async ping(address: string): Promise<PingAnswer | undefined> {
		try {
			return await this.#peerClient.call<PingAnswer>(address, 'membership.ping', {}, {timeoutMs: this.#pingTimeoutMs, useNewConnection: true});
		} catch {
			return undefined;
		}
	}

	async #call(address: string, message: ExchangeMessage, timeoutMs: number): Promise<PagedAnswer> {
		return this.#peerClient.call<PagedAnswer>(address, 'membership.exchange', message, {timeoutMs});
	}
}
