import {describeError} from '@yuccawood/common';
import type {Stream} from 'most';
import {ByteBudget} from './byte-budget.js';
import {DEPARTURE_NOTICE_COUNT, MAX_TOMBSTONES, PAGE_TIMEOUT_MS} from './constants.js';
import {ExchangeClient} from './exchange-client.js';
import {ExchangeHandler, type Followup} from './exchange-handler.js';
import {FailureDetector} from './failure-detector.js';
import {withDefaults, type CompleteGossipOptions, type GossipOptions} from './gossip-options.js';
import {callEach, type LeaveNotice} from './leave-notice.js';
import {MemberDirectory} from './member-directory.js';
import {MessageComposer} from './message-composer.js';
import {
	claimOf, type Claim, type ExchangeMessage, type PingAnswer,
} from './messages.js';
import {IdConflictResolver} from './id-conflict-resolver.js';
import {OwnRecord, type OwnClaimOutcome} from './own-record.js';
import {reconnectUntilAborted} from './reconnection.js';
import {sendChangesUntilAborted, pingUntilAborted} from './rounds.js';
import {readTable, TablePages, type PagedAnswer} from './table-pages.js';
import type {MemberPatch, MemberRecord, MemberTable} from './types.js';
import {UpdateQueue} from './update-queue.js';
import {MissingRecords} from './missing-records.js';
import {runVmListWatch, VmListWatch} from './vm-list-watch.js';

/**
SWIM-style gossip membership: keeps the member table by periodic pings and spreads changes in the messages of these pings.

Each process contacts one random member per period, so the size and the rate of messages do not grow with the number of members.
*/
export class Gossip implements MemberTable {
	readonly #options: CompleteGossipOptions;
	readonly #own: OwnRecord;
	readonly #directory: MemberDirectory;
	readonly #queue = new UpdateQueue();
	readonly #budget: ByteBudget;
	readonly #handler: ExchangeHandler;
	readonly #composer: MessageComposer;
	readonly #client: ExchangeClient;
	readonly #detector: FailureDetector;
	readonly #idConflictResolver: IdConflictResolver;
	#members: {readonly live: readonly MemberRecord[]; readonly self: MemberRecord; readonly all: readonly MemberRecord[]} | undefined;
	#highestReportedRevision = 0;
	#isStarting = true;

	constructor(options: GossipOptions) {
		const complete = withDefaults(options);
		const {self, clock, recordBytesPerSecond, recordBurstBytes} = complete;
		this.#options = complete;
		this.#own = new OwnRecord({
			...self, incarnation: self.incarnation ?? clock.now(), sequence: 1, status: 'alive', revision: 0,
		});
		this.#directory = new MemberDirectory({...complete, maxTombstones: MAX_TOMBSTONES});
		this.#budget = new ByteBudget({clock, bytesPerSecond: recordBytesPerSecond, burstBytes: recordBurstBytes});
		const parts = {
			own: this.#own, directory: this.#directory, queue: this.#queue, missing: new MissingRecords({clock}),
		};
		this.#handler = new ExchangeHandler({...parts, onClaimAboutSelf: this.#onClaimAboutSelf});
		this.#composer = new MessageComposer({
			...complete, ...parts, highestRevision: () => this.highestRevision,
			budget: this.#budget,
		});
		this.#client = new ExchangeClient({
			...complete, composer: this.#composer, apply: this.#apply, pageTimeoutMs: PAGE_TIMEOUT_MS,
		});
		this.#detector = new FailureDetector({
			...complete, directory: this.#directory, exchange: this.#client.exchangeWith, pingVia: this.#client.pingVia,
			queueUpdate: this.#queueUpdate, suspicionMs: () => this.#suspicionMs,
		});
		this.#idConflictResolver = new IdConflictResolver({
			...complete, own: this.#own, client: this.#client, onRaised: this.#publishSelf,
		});
		this.#queue.add(self.id);
		this.#registerMethods();
	}

	get self(): MemberRecord {
		return this.#own.record;
	}

	get members(): readonly MemberRecord[] {
		const {live} = this.#directory;
		const {self} = this;
		if (this.#members?.live !== live || this.#members.self !== self) {
			this.#members = {live, self, all: [self, ...live]};
		}

		return this.#members.all;
	}

	get changes(): Stream<MemberRecord> {
		return this.#directory.changePublisher.changes;
	}

	get highestRevision(): number {
		return Math.max(this.#highestReportedRevision, this.#directory.highestRevision, this.self.revision);
	}

	readonly find = (id: string): MemberRecord | undefined => id === this.self.id ? this.self : this.#directory.get(id);

	readonly updateSelf = (patch: MemberPatch): void => {
		const {sequence} = this.self;
		this.#own.update(patch);
		if (this.self.sequence === sequence) {
			this.#directory.changePublisher.publish(this.self);
			return;
		}

		this.#publishSelf();
	};

	/** Joins through the seeds, then keeps the table up to date until the signal aborts. Resolves after the table has been read, or when no seed answers. */
	async start(signal: AbortSignal): Promise<void> {
		const exchange = async (address: string): Promise<unknown> => this.#client.exchange(address);
		const options = {
			...this.#options, directory: this.#directory, queue: this.#queue, budget: this.#budget, ownAddress: this.self.address, signal, exchange,
		};
		await readTable({
			...options, members: () => this.#directory.live,
			readPage: async (address, after) => this.#client.readPage(address, {after, selfId: this.self.id}),
			load: records => {
				this.#handler.load(records);
			},
		});
		this.#isStarting = false;
		await this.#announceToEntries();
		void pingUntilAborted({...options, detector: this.#detector});
		void sendChangesUntilAborted(options);
		void reconnectUntilAborted(options);
		const {vmList, clock, vmListPeriodMs} = this.#options;
		if (vmList) {
			const watch = new VmListWatch({
				...this.#options, vmList, table: this, onLeaving: this.#markLeaving,
			});
			void runVmListWatch(watch, {clock, periodMs: vmListPeriodMs, signal});
		}
	}

	/** Marks this process as leaving. Notifies all entries directly and in parallel; the other members learn it by gossip. */
	async leave(): Promise<void> {
		if (this.self.status !== 'leaving') {
			this.updateSelf({status: 'leaving'});
		}

		await this.#sendLeaveNotice({claim: claimOf(this.self), record: this.self}, this.#entries);
	}

	/** Notifies a few members that this process has ended, so that its death need not be detected by pings. Must be the last call. */
	async announceExit(): Promise<void> {
		const [id, incarnation, sequence, , revision] = claimOf(this.self);
		const members = this.#options.random.sample(this.#directory.live, DEPARTURE_NOTICE_COUNT);
		await this.#sendLeaveNotice({claim: [id, incarnation, sequence + 1, 'dead', revision]}, members);
	}

	get #entries(): readonly MemberRecord[] {
		return this.#directory.live.filter(({role}) => role === 'entry');
	}

	get #suspicionMs(): number {
		const {periodMs, suspicionPeriods} = this.#options;
		return periodMs * suspicionPeriods * Math.max(1, Math.log10(this.#directory.live.length + 1));
	}

	readonly #apply = (message: ExchangeMessage): Followup => {
		this.#highestReportedRevision = Math.max(this.#highestReportedRevision, message.highest);
		const followup = this.#handler.apply(message);
		this.#composer.comparePeerChecksum(message.checksum);
		return followup;
	};

	readonly #queueUpdate = (id: string): void => {
		this.#queue.add(id);
	};

	readonly #publishSelf = (): void => {
		this.#queue.add(this.self.id);
		this.#directory.changePublisher.publish(this.self);
	};

	readonly #onClaimAboutSelf = (outcome: OwnClaimOutcome, claim: Claim, record: MemberRecord | undefined): void => {
		const {metrics, log, onLeaveHint} = this.#options;
		metrics.count('membership.defences', {defence: outcome});
		if (outcome === 'contested') {
			void this.#idConflictResolver.resolve(claim, {record, isStarting: this.#isStarting});
			return;
		}

		this.#publishSelf();
		if (outcome === 'asked-to-leave') {
			log.info('Another member marked this process as leaving.');
			onLeaveHint();
		}
	};

	/** Marks another member as leaving because the VM list says so, and notifies the entries and that member directly. */
	readonly #markLeaving = async (member: MemberRecord): Promise<void> => {
		const [id, incarnation, sequence, , revision] = claimOf(member);
		const claim: Claim = [id, incarnation, sequence, 'leaving', revision];
		this.#handler.apply({
			from: claim, records: [], claims: [], wants: [],
		});
		await this.#sendLeaveNotice({claim}, [...new Set([member, ...this.#entries])].filter(target => target.id !== this.self.id));
	};

	async #sendLeaveNotice(notice: LeaveNotice, members: readonly MemberRecord[]): Promise<void> {
		await callEach(members, async ({id, address}) => {
			try {
				await this.#client.notify(address, notice);
			} catch (error) {
				this.#options.log.warn('Leave notice got no answer; the member learns of it by gossip.', {member: id, error: describeError(error)});
			}
		});
	}

	/** Sends the record of this process to all entries directly, so that they can send it requests without waiting for gossip. */
	async #announceToEntries(): Promise<void> {
		await callEach(this.#entries, async ({address}) => {
			try {
				await this.#client.announce(address, this.self);
			} catch {
				// The entry learns of this process by gossip.
			}
		});
	}

	#registerMethods(): void {
		const {peerServer, clock} = this.#options;
		const pages = new TablePages({directory: this.#directory, clock});
		peerServer.method('membership.exchange', (message: ExchangeMessage): PagedAnswer => {
			const answer = this.#composer.compose({...this.#apply(message), isBrief: message.isBrief});
			return message.pageAfter === undefined ? answer : {...answer, ...pages.page(message.pageAfter)};
		});
		peerServer.method('membership.ping', (): PingAnswer => ({id: this.self.id, incarnation: this.self.incarnation}));
		peerServer.method('membership.pingVia', async ({id, address}: {readonly id: string; readonly address: string}): Promise<boolean> => {
			const answer = await this.#client.ping(address);
			return answer?.id === id;
		});
		peerServer.method('membership.leave', ({claim, record}: LeaveNotice): boolean => {
			this.#handler.apply({
				from: claim, records: record ? [record] : [], claims: [], wants: [],
			});
			return true;
		});
	}
}
