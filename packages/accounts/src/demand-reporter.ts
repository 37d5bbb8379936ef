import type {Clock} from '@yuccawood/common';
import type {AccountDirectory} from './account-directory.js';
import type {AccountState} from './account-state.js';
import {ACCOUNT_IDLE_MS, EARLY_REPORTS_PER_PERIOD, POOL_NAME_PREFIX} from './constants.js';
import type {DemandReport} from './share-messages.js';
import type {ShareTable} from './share-table.js';

/** Decides when to report the demand for which accounts and pools to their home entries. */
export class DemandReporter {
	readonly #accounts: AccountDirectory;
	readonly #poolStates: () => readonly AccountState[];
	readonly #shares: ShareTable;
	readonly #clock: Clock;
	readonly #firstShareWaitMs: number;
	readonly #onSharesChanged: () => void;

	/** Reports in progress that obtain a first share, so that concurrent requests wait for the same one. */
	readonly #firstReports = new Map<string, Promise<void>>();

	/** Monotonic time of the last report by name. */
	readonly #reportedAt = new Map<string, number>();

	constructor({accounts, poolStates, shares, clock, firstShareWaitMs, onSharesChanged}: {
		readonly accounts: AccountDirectory;

		/** States of the pools. */
		readonly poolStates: () => readonly AccountState[];
		readonly shares: ShareTable;
		readonly clock: Clock;
		readonly firstShareWaitMs: number;

		/** Called after a report, which may have changed shares. */
		readonly onSharesChanged: () => void;
	}) {
		this.#accounts = accounts;
		this.#poolStates = poolStates;
		this.#shares = shares;
		this.#clock = clock;
		this.#firstShareWaitMs = firstShareWaitMs;
		this.#onSharesChanged = onSharesChanged;
	}

	/** Reports all accounts and pools in use whose regular report is due. */
	async reportDue(): Promise<void> {
		if (this.#shares.entries.length <= 1) {
			return;
		}

		const activeSince = this.#clock.monotonic() - ACCOUNT_IDLE_MS;
		const active = [...this.#poolStates(), ...this.#accounts.all].filter(({inUse, lastUsedAt}) => inUse > 0 || lastUsedAt >= activeSince);
		await this.#report(active.filter(({name, limits}) => Number.isFinite(limits.concurrent) && this.#shares.isReportDue(name)));
	}

	/** Reports accounts or pools at once to obtain their first shares, and waits for those for at most `firstShareWaitMs`. */
	async reportFirst(states: readonly AccountState[]): Promise<void> {
		const settled = new AbortController();
		const reports = states.map(async state => {
			const report = this.#firstReports.get(state.name) ?? this.#report([state]);
			this.#firstReports.set(state.name, report);
			try {
				await report;
			} finally {
				this.#firstReports.delete(state.name);
			}
		});
		await Promise.race([Promise.all(reports), this.#clock.sleep(this.#firstShareWaitMs, settled.signal)]);
		settled.abort();
	}

	/** Reports an account or pool before its regular report because its share is used up. The rate of these reports is bounded. */
	reportEarly(state: AccountState): void {
		const now = this.#clock.monotonic();
		const isReportedRecently = now - (this.#reportedAt.get(state.name) ?? Number.NEGATIVE_INFINITY) < this.#shares.reportPeriodMs(state.name) / EARLY_REPORTS_PER_PERIOD;
		if (isReportedRecently || this.#shares.entries.length <= 1) {
			return;
		}

		void this.#report([state]);
	}

	async #report(states: readonly AccountState[]): Promise<void> {
		const now = this.#clock.monotonic();
		const reports = states.map((state): DemandReport => {
			this.#reportedAt.set(state.name, now);
			const {rate, concurrent} = state.collectDemand(now);
			const held = this.#shares.heldShare(state.name);
			// Waiting requests count towards the concurrency of their account, but not yet towards the capacity of a pool.
			const inUse = state.name.startsWith(POOL_NAME_PREFIX) ? state.inFlight : state.inUse;
			return {
				account: state.name, rateDemand: rate, concurrentDemand: concurrent, inUse, heldRate: held.rate, heldConcurrent: held.concurrent,
			};
		});
		if (reports.length > 0) {
			await this.#shares.report(reports);
			this.#onSharesChanged();
		}
	}
}
