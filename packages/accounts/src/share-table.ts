import {
	rank, type Clock, type Metrics, type PeerClient,
} from '@yuccawood/common';
import type {MemberRecord, MemberTable} from '@yuccawood/membership';
import {REPORT_TIMEOUT_MS, REPORTS_PER_VALIDITY, SHARE_VALID_MS} from './constants.js';
import type {ShareHome} from './share-home.js';
import {
	readReportRow, readShareRow, reportRow, shareRow, type DemandReport, type Limits, type Share, type ShareAnswer, type ShareRequest, type ShareRow,
} from './share-messages.js';

type HeldShare = Share & {
	readonly reportAt: number;
	readonly expiresAt: number;
};

/** Shares that this entry holds, and the reports that obtain them from the home entries. */
export class ShareTable {
	readonly #members: MemberTable;
	readonly #selfId: string;
	readonly #home: ShareHome;
	readonly #peerClient: Pick<PeerClient, 'call'>;
	readonly #clock: Clock;
	readonly #metrics: Metrics;
	readonly #limitsOf: (account: string) => Limits | undefined;
	readonly #held = new Map<string, HeldShare>();

	/** Accounts whose home entry gave no answer to the last report. */
	readonly #unreachable = new Set<string>();
	#entriesOf: readonly MemberRecord[] = [];
	#entries: readonly MemberRecord[] = [];

	constructor({members, selfId, home, peerClient, clock, metrics, limitsOf}: {
		readonly members: MemberTable;
		readonly selfId: string;
		readonly home: ShareHome;
		readonly peerClient: Pick<PeerClient, 'call'>;
		readonly clock: Clock;
		readonly metrics: Metrics;

		/** Limits over all entries, for the accounts whose home is this entry. */
		readonly limitsOf: (account: string) => Limits | undefined;
	}) {
		this.#members = members;
		this.#selfId = selfId;
		this.#home = home;
		this.#peerClient = peerClient;
		this.#clock = clock;
		this.#metrics = metrics;
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

	/** True if the share is to be reported again: its time for a report has come, or there is none. */
	isDue(account: string): boolean {
		const held = this.#held.get(account);
		return !held || this.#clock.monotonic() >= held.reportAt;
	}

	/** Time between two regular reports of an account. */
	reportPeriodMs(account: string): number {
		return (this.#held.get(account)?.validMs ?? SHARE_VALID_MS) / REPORTS_PER_VALIDITY;
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
		const shares: ShareRow[] = [];
		for (const row of reports) {
			const report = readReportRow(row);
			const limits = this.#limitsOf(report.account);
			if (limits) {
				shares.push(shareRow(this.#home.grant(entry, report, limits)));
			}
		}

		return {shares};
	}

	/** A home entry that does not know an account yet grants nothing, which counts like no answer. */
	#takeOver(reports: readonly DemandReport[], shares: readonly ShareRow[], askedAt: number): void {
		for (const {account} of reports) {
			const row = shares.find(([candidate]) => candidate === account);
			if (row) {
				const share = readShareRow(row);
				this.#held.set(account, {...share, reportAt: askedAt + (share.validMs / REPORTS_PER_VALIDITY), expiresAt: askedAt + share.validMs});
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
		const askedAt = this.#clock.monotonic();
		const request: ShareRequest = {entry: this.#selfId, reports: reports.map(report => reportRow(report))};
		try {
			const {shares} = home.id === this.#selfId
				? this.answer(request)
				: await this.#peerClient.call<ShareAnswer>(home.address, 'accounts.share', request, {timeoutMs: REPORT_TIMEOUT_MS});
			this.#takeOver(reports, shares, askedAt);
		} catch {
			this.#metrics.count('accounts.failed_reports');
			for (const {account} of reports) {
				this.#unreachable.add(account);
			}
		}
	}
}
