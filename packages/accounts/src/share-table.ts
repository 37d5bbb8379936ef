import {
	rank, type Clock, type Metrics, type PeerClient,
} from '@yuccawood/common';
import type {MemberRecord, MemberTable} from '@yuccawood/membership';
import {REPORT_TIMEOUT_MS} from './constants.js';
import type {ShareHome} from './share-home.js';
import type {
	DemandReport, Limits, Share, ShareAnswer, ShareRequest,
} from './share-messages.js';

type HeldShare = Share & {readonly expiresAt: number};

/** Shares that this entry holds, and the reports that obtain them from the home entries. */
export class ShareTable {
	readonly #members: MemberTable;
	readonly #selfId: string;
	readonly #home: ShareHome;
	readonly #peerClient: Pick<PeerClient, 'call'>;
	readonly #clock: Clock;
	readonly #metrics: Metrics;
	readonly #ttlMs: number;
	readonly #limitsOf: (account: string) => Limits | undefined;
	readonly #held = new Map<string, HeldShare>();

	/** Accounts whose home entry gave no answer to the last report. */
	readonly #unreachable = new Set<string>();
	#entriesOf: readonly MemberRecord[] = [];
	#entries: readonly MemberRecord[] = [];

	constructor({members, selfId, home, peerClient, clock, metrics, ttlMs, limitsOf}: {
		readonly members: MemberTable;
		readonly selfId: string;
		readonly home: ShareHome;
		readonly peerClient: Pick<PeerClient, 'call'>;
		readonly clock: Clock;
		readonly metrics: Metrics;
		readonly ttlMs: number;

		/** Limits over all entries, for the accounts whose home is this entry. */
		readonly limitsOf: (account: string) => Limits | undefined;
	}) {
		this.#members = members;
		this.#selfId = selfId;
		this.#home = home;
		this.#peerClient = peerClient;
		this.#clock = clock;
		this.#metrics = metrics;
		this.#ttlMs = ttlMs;
		this.#limitsOf = limitsOf;
	}

	/** Entries that take part in the division. This one counts even while it is leaving. */
	get entries(): readonly MemberRecord[] {
		const {members} = this.#members;
		if (members !== this.#entriesOf) {
			this.#entriesOf = members;
			this.#entries = members.filter(({id, role, status}) => role === 'entry' && (id === this.#selfId || status === 'alive' || status === 'suspect'));
		}

		return this.#entries;
	}

	/** The share in force, or undefined if the home entry has to be asked first. */
	current(account: string, limits: Limits): Limits | undefined {
		const count = Math.max(1, this.entries.length);
		if (count === 1) {
			return limits;
		}

		const held = this.#held.get(account);
		if (held && this.#clock.monotonic() < held.expiresAt) {
			return held;
		}

		return this.#unreachable.has(account) ? this.fallback(limits) : undefined;
	}

	/** Share without the home entry: an even part of the limit, at least one concurrent request. */
	fallback(limits: Limits): Limits {
		const count = Math.max(1, this.entries.length);
		const concurrent = limits.concurrent < 1 ? 0 : Math.max(1, Math.floor(limits.concurrent / count));
		return {rate: limits.rate / count, concurrent};
	}

	/** What this entry holds of an account, for its next report. */
	heldOf(account: string): Limits {
		const held = this.#held.get(account);
		return held && this.#clock.monotonic() < held.expiresAt ? held : {rate: 0, concurrent: 0};
	}

	/** Reports demand to the home entries and takes over the shares that they grant. */
	async report(reports: readonly DemandReport[]): Promise<void> {
		const byHome = new Map<MemberRecord, DemandReport[]>();
		for (const report of reports) {
			const home = this.#homeOf(report.account);
			byHome.set(home, [...(byHome.get(home) ?? []), report]);
		}

		await Promise.all([...byHome].map(async ([home, parts]) => this.#reportTo(home, parts)));
	}

	/** Answers the report of an entry. Accounts that this entry does not know get no share. */
	answer({entry, reports}: ShareRequest): ShareAnswer {
		const shares: Share[] = [];
		for (const report of reports) {
			const limits = this.#limitsOf(report.account);
			if (limits) {
				shares.push(this.#home.grant(entry, report, limits));
			}
		}

		return {shares};
	}

	/** A home entry that does not know an account yet grants nothing, which counts like no answer. */
	#takeOver(reports: readonly DemandReport[], shares: readonly Share[], expiresAt: number): void {
		for (const {account} of reports) {
			const share = shares.find(candidate => candidate.account === account);
			if (share) {
				this.#held.set(account, {...share, expiresAt});
				this.#unreachable.delete(account);
			} else {
				this.#unreachable.add(account);
			}
		}
	}

	#homeOf(account: string): MemberRecord {
		const {entries} = this;
		const [first] = rank(account, entries.map(({id}) => id));
		return entries.find(({id}) => id === first) ?? this.#members.self;
	}

	async #reportTo(home: MemberRecord, reports: readonly DemandReport[]): Promise<void> {
		// The time of a share counts from before the report, so that it ends here before it ends at the home entry.
		const expiresAt = this.#clock.monotonic() + this.#ttlMs;
		const request: ShareRequest = {entry: this.#selfId, reports};
		try {
			const {shares} = home.id === this.#selfId
				? this.answer(request)
				: await this.#peerClient.call<ShareAnswer>(home.address, 'accounts.share', request, {timeoutMs: REPORT_TIMEOUT_MS});
			this.#takeOver(reports, shares, expiresAt);
		} catch {
			this.#metrics.count('accounts.failed_reports');
			for (const {account} of reports) {
				this.#unreachable.add(account);
			}
		}
	}
}
