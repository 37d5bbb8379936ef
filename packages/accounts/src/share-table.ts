import {
	rankByWeight, type Clock, type Metrics, type PeerClient,
} from '@yuccawood/common';
import type {MemberRecord, MemberTable} from '@yuccawood/membership';
import {REPORT_TIMEOUT_MS, REPORTS_PER_VALIDITY, SHARE_VALIDITY_MS} from './constants.js';
import type {ShareHome} from './share-home.js';
import {
	decodeReport, decodeShare, encodeReport, encodeShare, type DemandReport, type Limits, type Share, type ShareAnswer, type ShareRequest, type ShareRow,
} from './share-messages.js';

type HeldShare = Share & {
	/** Monotonic time of the next regular report. */
	readonly nextReportAt: number;

	/** Monotonic time from which the share is no longer valid. */
	readonly expiresAt: number;
};

/**
Shares of accounts and pools that this entry holds, and the reports that obtain them.

The home entry of a name is the entry that rendezvous hashing ranks first for it, so all entries choose the same one without coordination.
*/
export class ShareTable {
	readonly #members: MemberTable;
	readonly #selfId: string;
	readonly #home: ShareHome;
	readonly #peerClient: Pick<PeerClient, 'call'>;
	readonly #clock: Clock;
	readonly #metrics: Metrics;
	readonly #limitsOf: (account: string) => Limits | undefined;
	readonly #held = new Map<string, HeldShare>();

	/** Accounts and pools whose home entry granted no share at the last report. */
	readonly #unreachable = new Set<string>();
	#cachedMembers: readonly MemberRecord[] = [];
	#cachedEntries: readonly MemberRecord[] = [];

	constructor({members, selfId, home, peerClient, clock, metrics, limitsOf}: {
		readonly members: MemberTable;
		readonly selfId: string;
		readonly home: ShareHome;
		readonly peerClient: Pick<PeerClient, 'call'>;
		readonly clock: Clock;
		readonly metrics: Metrics;

		/** Limits over all entries, for the accounts and pools whose home is this entry; undefined for unknown ones. */
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

	/** Entries among which limits are divided. This entry counts even while it is leaving. */
	get entries(): readonly MemberRecord[] {
		const {members} = this.#members;
		if (members !== this.#cachedMembers) {
			this.#cachedMembers = members;
			this.#cachedEntries = members.filter(({id, role, status}) => role === 'entry' && (id === this.#selfId || status === 'alive' || status === 'suspect'));
		}

		return this.#cachedEntries;
	}

	/** @returns the share in force, or undefined if this entry has to report to the home entry first. */
	currentShare(account: string, limits: Limits): Limits | undefined {
		const count = Math.max(1, this.entries.length);
		if (count === 1) {
			return limits;
		}

		const held = this.#held.get(account);
		if (held && this.#clock.monotonic() < held.expiresAt) {
			return held;
		}

		return this.#unreachable.has(account) ? this.fallbackShare(limits) : undefined;
	}

	/** Share to use while the home entry grants none: an even part of the limits, and at least one concurrent request unless the limit is 0. */
	fallbackShare(limits: Limits): Limits {
		const count = Math.max(1, this.entries.length);
		const concurrent = limits.concurrent < 1 ? 0 : Math.max(1, Math.floor(limits.concurrent / count));
		return {rate: limits.rate / count, concurrent};
	}

	/** Valid share that this entry holds, for its next report; zeros if it holds none. */
	heldShare(account: string): Limits {
		const held = this.#held.get(account);
		return held && this.#clock.monotonic() < held.expiresAt ? held : {rate: 0, concurrent: 0};
	}

	/** True if the next regular report is due, or if this entry has no share yet. */
	isReportDue(account: string): boolean {
		const held = this.#held.get(account);
		return !held || this.#clock.monotonic() >= held.nextReportAt;
	}

	/** Milliseconds between two regular reports of an account or pool. */
	reportPeriodMs(account: string): number {
		return (this.#held.get(account)?.validMs ?? SHARE_VALIDITY_MS) / REPORTS_PER_VALIDITY;
	}

	/** Reports demand to the home entries and stores the shares that they grant. */
	async report(reports: readonly DemandReport[]): Promise<void> {
		const byHome = new Map<MemberRecord, DemandReport[]>();
		for (const report of reports) {
			const home = this.#homeOf(report.account);
			byHome.set(home, [...(byHome.get(home) ?? []), report]);
		}

		await Promise.all([...byHome].map(async ([home, batch]) => this.#reportTo(home, batch)));
	}

	/** Answers a report as home entry. Accounts that this entry does not know get no share. */
	answer({entry, reports}: ShareRequest): ShareAnswer {
		const shares: ShareRow[] = [];
		for (const row of reports) {
			const report = decodeReport(row);
			const limits = this.#limitsOf(report.account);
			if (limits) {
				shares.push(encodeShare(this.#home.grant(entry, report, limits)));
			}
		}

		return {shares};
	}

	/** Stores granted shares. A home entry grants no share of an account that it does not know yet, which is treated like a missing answer. */
	#applyShares(reports: readonly DemandReport[], shares: readonly ShareRow[], reportedAt: number): void {
		for (const {account} of reports) {
			const row = shares.find(([candidate]) => candidate === account);
			if (row) {
				const share = decodeShare(row);
				this.#held.set(account, {...share, nextReportAt: reportedAt + (share.validMs / REPORTS_PER_VALIDITY), expiresAt: reportedAt + share.validMs});
				this.#unreachable.delete(account);
			} else {
				this.#unreachable.add(account);
			}
		}
	}

	#homeOf(account: string): MemberRecord {
		const {entries} = this;
		const [first] = rankByWeight(account, entries.map(({id}) => id));
		return entries.find(({id}) => id === first) ?? this.#members.self;
	}

	async #reportTo(home: MemberRecord, reports: readonly DemandReport[]): Promise<void> {
		// The validity counts from before the call, so the share expires here before it does at the home entry.
		const reportedAt = this.#clock.monotonic();
		const request: ShareRequest = {entry: this.#selfId, reports: reports.map(report => encodeReport(report))};
		try {
			const {shares} = home.id === this.#selfId
				? this.answer(request)
				: await this.#peerClient.call<ShareAnswer>(home.address, 'accounts.share', request, {timeoutMs: REPORT_TIMEOUT_MS});
			this.#applyShares(reports, shares, reportedAt);
		} catch {
			this.#metrics.count('accounts.failed_reports');
			for (const {account} of reports) {
				this.#unreachable.add(account);
			}
		}
	}
}
