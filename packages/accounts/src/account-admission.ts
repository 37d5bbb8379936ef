import {describeError, Err} from '@yuccawood/common';
import {AccountDirectory} from './account-directory.js';
import type {AccountState} from './account-state.js';
import type {AccountAdmissionOptions} from './admission-options.js';
import {CapacityGate, type AdmissionAnswer} from './capacity-gate.js';
import {
	CAPACITY_FACTOR, FIRST_SHARE_WAIT_MS, POOL_NAME_PREFIX, MAX_POOLS, REPORT_PERIOD_MS, SHARE_VALIDITY_MS,
} from './constants.js';
import {DemandReporter} from './demand-reporter.js';
import {
	concurrencyRefusal, leavingRefusal, rateRefusal, unknownAccountRefusal,
} from './refusals.js';
import {ShareHome} from './share-home.js';
import type {Limits, ShareRequest} from './share-messages.js';
import {ShareTable} from './share-table.js';
import type {Admission, AdmissionRefusal, AdmissionRequest} from './types.js';

/**
Admits requests within the limits of their accounts and the capacity of the pool that runs them.

All entries share the limits and the capacities: this entry enforces its own share, which the home entry of the account or pool grants.
*/
export class AccountAdmission implements Admission {
	readonly #options: AccountAdmissionOptions;
	readonly #accounts = new AccountDirectory();
	readonly #gates = new Map<string, CapacityGate>();
	readonly #home: ShareHome;
	readonly #shares: ShareTable;
	readonly #reporter: DemandReporter;

	constructor(options: AccountAdmissionOptions) {
		this.#options = options;
		const {clock, shareValidMs: validMs = SHARE_VALIDITY_MS, firstShareWaitMs = FIRST_SHARE_WAIT_MS} = options;
		this.#home = new ShareHome({clock, validMs, liveEntryCount: () => this.#shares.entries.length});
		this.#shares = new ShareTable({
			...options, home: this.#home, limitsOf: account => this.#limitsOf(account),
		});
		this.#reporter = new DemandReporter({
			accounts: this.#accounts, poolStates: () => [...this.#gates.values()].map(({poolState}) => poolState), shares: this.#shares, clock, firstShareWaitMs,
			onSharesChanged: () => {
				this.#admitWaiting();
			},
		});
		options.peerServer.method('accounts.share', (request: ShareRequest) => this.#shares.answer(request));
	}

	/** Reports demand to the home entries in the background until the signal aborts. */
	start(signal: AbortSignal): void {
		void this.#run(signal);
	}

	/** Number of requests that this entry has admitted and that are not released yet. */
	get inProgress(): number {
		return [...this.#gates.values()].reduce((sum, {poolState}) => sum + poolState.inFlight, 0);
	}

	/** Number of requests that wait for capacity at this entry. */
	get waiting(): number {
		return [...this.#gates.values()].reduce((sum, {waiting}) => sum + waiting, 0);
	}

	readonly admit = async (request: AdmissionRequest): Promise<AdmissionAnswer> => {
		const {clock, configuration, isLeaving} = this.#options;
		const now = clock.monotonic();
		this.#accounts.applyConfiguration(configuration.current, now);
		if (isLeaving?.()) {
			return this.#refuse(leavingRefusal());
		}

		const state = this.#accounts.identify(request.bearer);
		if (!state) {
			return this.#refuse(unknownAccountRefusal(request.bearer !== undefined));
		}

		const gate = this.#gateOf(request.pool);
		state.countAttempt(now);
		gate.poolState.countAttempt(now);
		const withoutShare = [state, gate.poolState].filter(candidate => this.#shareOf(candidate) === undefined);
		if (withoutShare.length > 0) {
			await this.#reporter.reportFirst(withoutShare);
		}

		return this.#decide(state, request, gate);
	};

	/** Checks the account's shares of its limits, then asks the pool for capacity. */
	#decide(state: AccountState, request: AdmissionRequest, gate: CapacityGate): AdmissionAnswer | Promise<AdmissionAnswer> {
		const now = this.#options.clock.monotonic();
		const {rate, concurrent} = this.#shareOf(state) ?? this.#shares.fallbackShare(state.limits);
		state.bucket.setRate(rate, now);
		if (state.inUse >= concurrent) {
			state.countConcurrencyRefusal();
			this.#reporter.reportEarly(state);
			return this.#refuse(concurrencyRefusal(state, state.meanServiceMs / Math.max(1, state.inFlight) / 1000));
		}

		if (!state.bucket.take(now)) {
			this.#reporter.reportEarly(state);
			return this.#refuse(rateRefusal(state, this.#secondsToToken(state, now)));
		}

		return gate.enter(state, request);
	}

	#refuse(refusal: AdmissionRefusal): AdmissionAnswer {
		this.#options.metrics.count('accounts.refusals', {kind: refusal.kind});
		return Err(refusal);
	}

	/** Share in force, or undefined if it has to be obtained first. Unlimited accounts need no share. */
	#shareOf(state: AccountState): Limits | undefined {
		const limits = this.#limitsOf(state.name) ?? state.limits;
		return Number.isFinite(limits.concurrent) ? this.#shares.currentShare(state.name, limits) : limits;
	}

	/** Limits over all entries of an account, or of a pool if the name has the prefix; undefined for an unknown account. */
	#limitsOf(account: string): Limits | undefined {
		if (account.startsWith(POOL_NAME_PREFIX)) {
			return this.#poolLimits(account.slice(POOL_NAME_PREFIX.length));
		}

		this.#accounts.applyConfiguration(this.#options.configuration.current, this.#options.clock.monotonic());
		return this.#accounts.get(account)?.limits;
	}

	/** Gate of a pool. Pools beyond `MAX_POOLS` share the gate of requests without a pool. */
	#gateOf(name = ''): CapacityGate {
		const known = this.#gates.get(name);
		if (known) {
			return known;
		}

		if (name !== '' && this.#gates.size >= MAX_POOLS) {
			return this.#gateOf();
		}

		const gate: CapacityGate = new CapacityGate({
			...this.#options, pool: name, capacity: () => this.#capacity(name),
			onWait: () => {
				this.#reporter.reportEarly(gate.poolState);
			},
			onRefusal: refusal => {
				this.#refuse(refusal);
			},
		});
		this.#gates.set(name, gate);
		return gate;
	}

	/** Requests of a pool that may run at the same time through this entry. */
	#capacity(pool: string): number {
		const limits = this.#poolLimits(pool);
		const {concurrent} = this.#shares.currentShare(POOL_NAME_PREFIX + pool, limits) ?? this.#shares.fallbackShare(limits);
		return Math.min(concurrent, limits.concurrent);
	}

	/** Capacity of a pool over all entries, with the surplus. Pools have no rate limit of their own. */
	#poolLimits(pool: string): Limits {
		const {fleetCapacity, capacityFactor = CAPACITY_FACTOR} = this.#options;
		return {rate: 0, concurrent: Math.floor(fleetCapacity(pool) * capacityFactor)};
	}

	#admitWaiting(): void {
		for (const gate of this.#gates.values()) {
			gate.admitWaiting();
		}
	}

	/**
Seconds until the bucket has a token. With several entries the wait is at most the validity of a share, because the share of the rate is
adapted to the demand by then.
*/
	#secondsToToken({bucket}: AccountState, now: number): number {
		const {shareValidMs = SHARE_VALIDITY_MS} = this.#options;
		const seconds = bucket.secondsToNextToken(now);
		return this.#shares.entries.length > 1 ? Math.min(seconds, shareValidMs / 1000) : seconds;
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock, random, log, metrics, reportPeriodMs = REPORT_PERIOD_MS} = this.#options;
		// The random delay spreads the reports of entries that start at the same time.
		await clock.sleep(random.next() * reportPeriodMs, signal);
		while (!signal.aborted) {
			try {
				await this.#reporter.reportDue();
				this.#home.expire();
				this.#admitWaiting();
			} catch (error) {
				log.error('Demand report failed; the next period reports again.', {error: describeError(error)});
			}

			metrics.gauge('accounts.waiting', this.waiting);
			await clock.sleep(reportPeriodMs, signal);
		}
	}
}
