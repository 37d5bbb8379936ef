import type {Clock} from '@yuccawood/common';
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
	readonly #ttlMs: number;
	readonly #liveEntries: () => number;
	readonly #ledgers = new Map<string, Ledger>();

	constructor({clock, ttlMs, liveEntries}: {
		readonly clock: Clock;
		readonly ttlMs: number;
		readonly liveEntries: () => number;
	}) {
		this.#clock = clock;
		this.#ttlMs = ttlMs;
		this.#liveEntries = liveEntries;
	}

	/** Takes a report and grants a share for the next `ttlMs`. */
	grant(entry: string, report: DemandReport, limits: Limits): Share {
		const now = this.#clock.monotonic();
		const {grants, settledAt} = this.#ledger(report.account, now);
		for (const [other, {expiresAt}] of grants) {
			if (expiresAt <= now) {
				grants.delete(other);
			}
		}

		grants.set(entry, {
			report, rate: report.heldRate, concurrent: report.heldConcurrent, expiresAt: now + this.#ttlMs,
		});
		const share = this.#divide(entry, grants, limits);
		const allowed = now < settledAt ? this.#cautious(share, report, limits) : share;
		grants.set(entry, {
			report, rate: allowed.rate, concurrent: allowed.concurrent, expiresAt: now + this.#ttlMs,
		});
		return allowed;
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

	#ledger(account: string, now: number): Ledger {
		const known = this.#ledgers.get(account);
		if (known) {
			return known;
		}

		const ledger: Ledger = {grants: new Map(), settledAt: now + this.#ttlMs};
		this.#ledgers.set(account, ledger);
		return ledger;
	}

	#divide(entry: string, grants: ReadonlyMap<string, Grant>, limits: Limits): Share {
		const entries = [...grants.keys()];
		const reports = [...grants.values()].map(({report}) => report);
		const index = entries.indexOf(entry);
		const rates = maxMinShares(limits.rate, reports.map(({rateDemand}) => rateDemand));
		const concurrents = wholeMaxMinShares(limits.concurrent, reports.map(({concurrentDemand}) => concurrentDemand));
		let freeRate = limits.rate;
		let freeConcurrent = limits.concurrent;
		for (const [other, grant] of grants) {
			if (other !== entry) {
				freeRate -= Math.max(grant.rate, grant.report.heldRate);
				freeConcurrent -= Math.max(grant.concurrent, grant.report.heldConcurrent, grant.report.inUse);
			}
		}

		return {
			account: reports[index].account,
			rate: Math.max(0, Math.min(rates[index], freeRate)),
			concurrent: Math.max(0, Math.min(concurrents[index], Math.floor(freeConcurrent))),
		};
	}

	/** What an entry may have before all holders of earlier shares are known. */
	#cautious({account, rate, concurrent}: Share, {heldRate, heldConcurrent}: DemandReport, limits: Limits): Share {
		const entries = Math.max(1, this.#liveEntries());
		return {
			account,
			rate: Math.min(rate, Math.max(heldRate, limits.rate / entries)),
			concurrent: Math.min(concurrent, Math.max(heldConcurrent, Math.floor(limits.concurrent / entries), 1)),
		};
	}
}
