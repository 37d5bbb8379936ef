import {describeError, Err} from '@yuccawood/common';
import {AccountDirectory} from './account-directory.js';
import type {AccountState} from './account-state.js';
import type {AccountAdmissionOptions} from './admission-options.js';
import {CapacityGate, type AdmissionAnswer} from './capacity-gate.js';
import {
	CAPACITY_FACTOR, FIRST_SHARE_WAIT_MS, FLEET, MAX_POOLS, REPORT_PERIOD_MS, SHARE_VALID_MS,
} from './constants.js';
import {DemandReporter} from './demand-reporter.js';
import {
	concurrencyRefusal, leavingRefusal, rateRefusal, unknownAccountRefusal,
} from './refusals.js';
import {ShareHome} from './share-home.js';
import type {Limits, ShareRequest} from './share-messages.js';
import {ShareTable} from './share-table.js';
import type {Admission, AdmissionRefusal, AdmissionRequest} from './types.js';

/** Admits requests under the limits of their accounts, which the entries share, and under the capacity of the fleet. */
export class AccountAdmission implements Admission {
	readonly #options: AccountAdmissionOptions;
	readonly #accounts = new AccountDirectory();
	readonly #gates = new Map<string, CapacityGate>();
	readonly #home: ShareHome;
	readonly #shares: ShareTable;
	readonly #reporter: DemandReporter;

	constructor(options: AccountAdmissionOptions) {
		this.#options = options;
		const {clock, shareValidMs: validMs = SHARE_VALID_MS, firstShareWaitMs = FIRST_SHARE_WAIT_MS} = options;
		this.#home = new ShareHome({clock, validMs, liveEntries: () => this.#shares.entries.length});
		this.#shares = new ShareTable({
			...options, home: this.#home, limitsOf: account => this.#limitsOf(account),
		});
		this.#reporter = new DemandReporter({
			accounts: this.#accounts, pools: () => [...this.#gates.values()].map(({fleet}) => fleet), shares: this.#shares, clock, firstShareWaitMs,
			onShares: () => {
				this.#pump();
			},
		});
		options.peerServer.method('accounts.share', (request: ShareRequest) => this.#shares.answer(request));
	}

	/** Reports demand to the home entries in the background, once per period until the signal aborts. */
	start(signal: AbortSignal): void {
		void this.#run(signal);
	}

	/** Requests admitted here that have not been released. */
	get inProgress(): number {
		return [...this.#gates.values()].reduce((sum, {fleet}) => sum + fleet.inFlight, 0);
	}

	get waiting(): number {
		return [...this.#gates.values()].reduce((sum, {waiting}) => sum + waiting, 0);
	}

	readonly admit = async (request: AdmissionRequest): Promise<AdmissionAnswer> => {
		const {clock, configuration, isLeaving} = this.#options;
		const now = clock.monotonic();
		this.#accounts.update(configuration.current, now);
		if (isLeaving?.()) {
			return this.#refuse(leavingRefusal());
		}

		const state = this.#accounts.identify(request.bearer);
		if (!state) {
			return this.#refuse(unknownAccountRefusal(request.bearer !== undefined));
		}

		const gate = this.#gateOf(request.pool);
		state.attempt(now);
		gate.fleet.attempt(now);
		const missing = [state, gate.fleet].filter(candidate => this.#shareOf(candidate) === undefined);
		if (missing.length > 0) {
			await this.#reporter.reportFirst(missing);
		}

		return this.#decide(state, request, gate);
	};

	#decide(state: AccountState, request: AdmissionRequest, gate: CapacityGate): AdmissionAnswer | Promise<AdmissionAnswer> {
		const now = this.#options.clock.monotonic();
		const {rate, concurrent} = this.#shareOf(state) ?? this.#shares.fallback(state.limits);
		state.bucket.setRate(rate, now);
		if (state.inUse >= concurrent) {
			state.refuseConcurrency();
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

	#shareOf(state: AccountState): Limits | undefined {
		const limits = this.#limitsOf(state.name) ?? state.limits;
		return Number.isFinite(limits.concurrent) ? this.#shares.current(state.name, limits) : limits;
	}

	#limitsOf(account: string): Limits | undefined {
		if (account.startsWith(FLEET)) {
			return this.#poolLimits(account.slice(FLEET.length));
		}

		this.#accounts.update(this.#options.configuration.current, this.#options.clock.monotonic());
		return this.#accounts.get(account)?.limits;
	}

	/** The gate of a pool. Pools beyond the limit share the one without a name. */
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
				this.#reporter.reportEarly(gate.fleet);
			},
			onRefusal: refusal => {
				this.#refuse(refusal);
			},
		});
		this.#gates.set(name, gate);
		return gate;
	}

	/** Requests of a pool that this entry may run at the same time. */
	#capacity(pool: string): number {
		const limits = this.#poolLimits(pool);
		const {concurrent} = this.#shares.current(FLEET + pool, limits) ?? this.#shares.fallback(limits);
		return Math.min(concurrent, limits.concurrent);
	}

	#poolLimits(pool: string): Limits {
		const {fleetCapacity, capacityFactor = CAPACITY_FACTOR} = this.#options;
		return {rate: 0, concurrent: Math.floor(fleetCapacity(pool) * capacityFactor)};
	}

	#pump(): void {
		for (const gate of this.#gates.values()) {
			gate.pump();
		}
	}

	/** Seconds until the bucket has a token. A share of several entries is adapted to the demand within its time, so waiting longer is not needed. */
	#secondsToToken({bucket}: AccountState, now: number): number {
		const {shareValidMs = SHARE_VALID_MS} = this.#options;
		const seconds = bucket.secondsToNext(now);
		return this.#shares.entries.length > 1 ? Math.min(seconds, shareValidMs / 1000) : seconds;
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock, random, log, metrics, reportPeriodMs = REPORT_PERIOD_MS} = this.#options;
		// Entries that start together spread their reports over the period.
		await clock.sleep(random.next() * reportPeriodMs, signal);
		while (!signal.aborted) {
			try {
				await this.#reporter.reportAll();
				this.#home.expire();
				this.#pump();
			} catch (error) {
				log.error('Report of demand failed.', {error: describeError(error)});
			}

			metrics.gauge('accounts.waiting', this.waiting);
			await clock.sleep(reportPeriodMs, signal);
		}
	}
}
