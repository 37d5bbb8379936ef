import type {Clock} from '@yuccawood/common';
import {MAX_VALIDITY_FACTOR, REPORTS_PER_PERIOD} from './constants.js';
import {maxMinShares, wholeMaxMinShares} from './max-min.js';
import type {DemandReport, Limits, Share} from './share-messages.js';

type Grant = {
	readonly report: DemandReport;
	readonly rate: number;
	readonly concurrent: number;
	readonly expiresAt: number;
};

type Ledger = {
	readonly grants: Map<string, Grant>;

	/** Until then, entries may hold shares that the previous home entry gave them. */
	readonly settledAt: number;
};

/**
Divides the limits of accounts among the entries that report demand to this entry.

An entry gets only what no other one may still use: a lowered share counts in full until its holder has confirmed the lower one,
or has let it run out. So the sum of the shares never exceeds the limit, but for the time of one share after another entry was the home.
*/
export class ShareHome {
	readonly #clock: Clock;
	readonly #validMs: number;
	readonly #liveEntries: () => number;
	readonly #ledgers = new Map<string, Ledger>();

	constructor({clock, validMs, liveEntries}: {
		readonly clock: Clock;

		/** Time for which a share is valid while few entries report. */
		readonly validMs: number;
		readonly liveEntries: () => number;
	}) {
		this.#clock = clock;
		this.#validMs = validMs;
		this.#liveEntries = liveEntries;
	}

	/** Takes a report and grants a share. */
	grant(entry: string, report: DemandReport, limits: Limits): Share {
		const now = this.#clock.monotonic();
		const {grants, settledAt} = this.#ledger(report.account, now);
		for (const [other, {expiresAt}] of grants) {
			if (expiresAt <= now) {
				grants.delete(other);
			}
		}

		const validMs = this.#validity(grants.size);
		const expiresAt = now + validMs;
		grants.set(entry, {
			report, rate: report.heldRate, concurrent: report.heldConcurrent, expiresAt,
		});
		const divided = {...this.#divide(entry, grants, limits), account: report.account, validMs};
		const share = now < settledAt ? this.#cautious(divided, report, limits) : divided;
		grants.set(entry, {
			report, rate: share.rate, concurrent: share.concurrent, expiresAt,
		});
		return share;
	}

	/** Forgets accounts without reports, so that a later return as home starts cautiously again. */
	expire(): void {
		const now = this.#clock.monotonic();
		for (const [account, {grants}] of this.#ledgers) {
			const isUsed = [...grants.values()].some(({expiresAt}) => expiresAt > now);
			if (!isUsed) {
				this.#ledgers.delete(account);
			}
		}
	}

	/** Grows with the number of entries that report, which bounds the reports per second that a home entry receives. */
	#validity(reporters: number): number {
		const factor = Math.min(MAX_VALIDITY_FACTOR, Math.max(1, reporters / REPORTS_PER_PERIOD));
		return Math.round(this.#validMs * factor);
	}

	#ledger(account: string, now: number): Ledger {
		const known = this.#ledgers.get(account);
		if (known) {
			return known;
		}

		const ledger: Ledger = {grants: new Map(), settledAt: now + this.#validity(this.#liveEntries())};
		this.#ledgers.set(account, ledger);
		return ledger;
	}

	#divide(entry: string, grants: ReadonlyMap<string, Grant>, limits: Limits): Limits {
		const entries = [...grants.keys()];
		const reports = [...grants.values()].map(({report}) => report);
		const index = entries.indexOf(entry);
		const parties = this.#liveEntries();
		const rates = maxMinShares(limits.rate, reports.map(({rateDemand}) => rateDemand), parties);
		const concurrents = wholeMaxMinShares(limits.concurrent, reports.map(({concurrentDemand}) => concurrentDemand), parties);
		let freeRate = limits.rate;
		let freeConcurrent = limits.concurrent;
		for (const [other, grant] of grants) {
			if (other !== entry) {
				freeRate -= Math.max(grant.rate, grant.report.heldRate);
				freeConcurrent -= Math.max(grant.concurrent, grant.report.heldConcurrent, grant.report.inUse);
			}
		}

		return {
			rate: Math.max(0, Math.min(rates[index], freeRate)),
			concurrent: Math.max(0, Math.min(concurrents[index], Math.floor(freeConcurrent))),
		};
	}

	/** What an entry may have before all holders of earlier shares are known. */
	#cautious(share: Share, {heldRate, heldConcurrent}: DemandReport, limits: Limits): Share {
		const entries = Math.max(1, this.#liveEntries());
		return {
			...share,
			rate: Math.min(share.rate, Math.max(heldRate, limits.rate / entries)),
			concurrent: Math.min(share.concurrent, Math.max(heldConcurrent, Math.floor(limits.concurrent / entries), 1)),
		};
	}
}
