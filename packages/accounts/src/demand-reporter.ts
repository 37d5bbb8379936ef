import type {Clock} from '@yuccawood/common';
import type {AccountDirectory} from './account-directory.js';
import type {AccountState} from './account-state.js';
import {ACCOUNT_IDLE_MS, EARLY_REPORTS_PER_PERIOD, FLEET} from './constants.js';
import type {DemandReport} from './share-messages.js';
import type {ShareTable} from './share-table.js';

/** Decides which accounts to report to their home entries, and when. */
export class DemandReporter {
	readonly #accounts: AccountDirectory;
	readonly #pools: () => readonly AccountState[];
	readonly #shares: ShareTable;
	readonly #clock: Clock;
	readonly #firstShareWaitMs: number;
	readonly #onShares: () => void;
	readonly #running = new Map<string, Promise<void>>();
	readonly #reportedAt = new Map<string, number>();

	constructor({accounts, pools, shares, clock, firstShareWaitMs, onShares}: {
		readonly accounts: AccountDirectory;

		/** Use of each pool's capacity. */
		readonly pools: () => readonly AccountState[];
		readonly shares: ShareTable;
		readonly clock: Clock;
		readonly firstShareWaitMs: number;

		/** Called after shares may have changed. */
		readonly onShares: () => void;
	}) {
		this.#accounts = accounts;
		this.#pools = pools;
		this.#shares = shares;
		this.#clock = clock;
		this.#firstShareWaitMs = firstShareWaitMs;
		this.#onShares = onShares;
	}

	/** Reports all accounts in use whose share is due for a report. */
	async reportAll(): Promise<void> {
		if (this.#shares.entries.length <= 1) {
			return;
		}

		const oldest = this.#clock.monotonic() - ACCOUNT_IDLE_MS;
		const active = [...this.#pools(), ...this.#accounts.all].filter(({inUse, lastUsedAt}) => inUse > 0 || lastUsedAt >= oldest);
		await this.#report(active.filter(({name, limits}) => Number.isFinite(limits.concurrent) && this.#shares.isDue(name)));
	}

	/** Reports accounts at once because their first share is needed, and waits for it for a bounded time. */
	async reportFirst(states: readonly AccountState[]): Promise<void> {
		const ended = new AbortController();
		const reports = states.map(async state => {
			const running = this.#running.get(state.name) ?? this.#report([state]);
			this.#running.set(state.name, running);
			try {
				await running;
			} finally {
				this.#running.delete(state.name);
			}
		});
		await Promise.race([Promise.all(reports), this.#clock.sleep(this.#firstShareWaitMs, ended.signal)]);
		ended.abort();
	}

	/** Reports an account early because its share is used up, at a bounded rate. */
	reportEarly(state: AccountState): void {
		const now = this.#clock.monotonic();
		const isRecent = now - (this.#reportedAt.get(state.name) ?? Number.NEGATIVE_INFINITY) < this.#shares.reportPeriodMs(state.name) / EARLY_REPORTS_PER_PERIOD;
		if (isRecent || this.#shares.entries.length <= 1) {
			return;
		}

		void this.#report([state]);
	}

	async #report(states: readonly AccountState[]): Promise<void> {
		const now = this.#clock.monotonic();
		const reports = states.map((state): DemandReport => {
			this.#reportedAt.set(state.name, now);
			const {rate, concurrent} = state.takeDemand(now);
			const held = this.#shares.heldOf(state.name);
			// Requests that wait for capacity do not use it yet, but they do use the concurrency of their account.
			const inUse = state.name.startsWith(FLEET) ? state.inFlight : state.inUse;
			return {
				account: state.name, rateDemand: rate, concurrentDemand: concurrent, inUse, heldRate: held.rate, heldConcurrent: held.concurrent,
			};
		});
		if (reports.length > 0) {
			await this.#shares.report(reports);
			this.#onShares();
		}
	}
}
