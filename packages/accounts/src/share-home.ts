import type {Clock} from '@yuccawood/common';
import {MAX_VALIDITY_FACTOR, TARGET_REPORTS_PER_PERIOD} from './constants.js';
import {maxMinShares, wholeMaxMinShares} from './max-min.js';
import type {DemandReport, Limits, Share} from './share-messages.js';

/** Share that an entry was granted, with the report that asked for it. */
type Grant = {
	readonly report: DemandReport;
	readonly rate: number;
	readonly concurrent: number;
	readonly expiresAt: number;
};

/** Grants of one account or pool. */
type AccountGrants = {
	/** Latest grant by the id of the entry. */
	readonly grants: Map<string, Grant>;

	/** Monotonic time until which entries may hold shares of a previous home entry, which this one does not know of. */
	readonly earlierSharesExpireAt: number;
};

/**
Divides limits of accounts and capacities of pools among the entries that report demand to this entry, their home entry.

An entry is granted only what no other entry may still use. A share that was lowered counts in full until its holder reports that it
holds the lower one, or until it expires. So the sum of the shares never exceeds the limit, except for the validity of one share after
the home moved here from another entry.
*/
export class ShareHome {
	readonly #clock: Clock;
	readonly #validMs: number;
	readonly #liveEntryCount: () => number;
	readonly #byAccount = new Map<string, AccountGrants>();

	constructor({clock, validMs, liveEntryCount}: {
		readonly clock: Clock;

		/** Time for which a share is valid while few entries report. */
		readonly validMs: number;

		/** Number of entries among which limits are divided, with or without demand. */
		readonly liveEntryCount: () => number;
	}) {
		this.#clock = clock;
		this.#validMs = validMs;
		this.#liveEntryCount = liveEntryCount;
	}

	/** Records the report of an entry and grants it a share. */
	grant(entry: string, report: DemandReport, limits: Limits): Share {
		const now = this.#clock.monotonic();
		const {grants, earlierSharesExpireAt} = this.#grantsOf(report.account, now);
		for (const [other, {expiresAt}] of grants) {
			if (expiresAt <= now) {
				grants.delete(other);
			}
		}

		const validMs = this.#validityMs(grants.size);
		const expiresAt = now + validMs;
		// The division takes all reports into account, so the new one is stored before it.
		grants.set(entry, {
			report, rate: report.heldRate, concurrent: report.heldConcurrent, expiresAt,
		});
		const grantable = {...this.#grantableShare(entry, grants, limits), account: report.account, validMs};
		const share = now < earlierSharesExpireAt ? this.#limitDuringTakeover(grantable, report, limits) : grantable;
		grants.set(entry, {
			report, rate: share.rate, concurrent: share.concurrent, expiresAt,
		});
		return share;
	}

	/** Forgets accounts without valid grants. Should they be reported again, other entries may hold unknown shares, and grants are limited anew. */
	expire(): void {
		const now = this.#clock.monotonic();
		for (const [account, {grants}] of this.#byAccount) {
			const hasValidGrant = [...grants.values()].some(({expiresAt}) => expiresAt > now);
			if (!hasValidGrant) {
				this.#byAccount.delete(account);
			}
		}
	}

	/** Validity of a share. It grows with the number of reporting entries, which bounds the reports that a home entry receives per second. */
	#validityMs(reporters: number): number {
		const factor = Math.min(MAX_VALIDITY_FACTOR, Math.max(1, reporters / TARGET_REPORTS_PER_PERIOD));
		return Math.round(this.#validMs * factor);
	}

	#grantsOf(account: string, now: number): AccountGrants {
		const known = this.#byAccount.get(account);
		if (known) {
			return known;
		}

		const accountGrants: AccountGrants = {grants: new Map(), earlierSharesExpireAt: now + this.#validityMs(this.#liveEntryCount())};
		this.#byAccount.set(account, accountGrants);
		return accountGrants;
	}

	/** The entry's max-min fair share of the limits, reduced to what the other entries cannot use. */
	#grantableShare(entry: string, grants: ReadonlyMap<string, Grant>, limits: Limits): Limits {
		const entries = [...grants.keys()];
		const reports = [...grants.values()].map(({report}) => report);
		const index = entries.indexOf(entry);
		const partyCount = this.#liveEntryCount();
		const rates = maxMinShares(limits.rate, reports.map(({rateDemand}) => rateDemand), partyCount);
		const concurrents = wholeMaxMinShares(limits.concurrent, reports.map(({concurrentDemand}) => concurrentDemand), partyCount);
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

	/** Limits a share to an even part, or to what the entry already holds, while shares of a previous home entry may still be valid. */
	#limitDuringTakeover(share: Share, {heldRate, heldConcurrent}: DemandReport, limits: Limits): Share {
		const entries = Math.max(1, this.#liveEntryCount());
		return {
			...share,
			rate: Math.min(share.rate, Math.max(heldRate, limits.rate / entries)),
			concurrent: Math.min(share.concurrent, Math.max(heldConcurrent, Math.floor(limits.concurrent / entries), 1)),
		};
	}
}
