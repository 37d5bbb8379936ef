import {
	describeError, Err, Ok, type Clock, type Log, type Metrics, type Result,
} from '@yuccawood/common';
import {type PlatformError, type KeyValueService, type Lease} from '@yuccawood/interfaces';
import {
	LEASE_CALL_TIMEOUT_MS, LEASE_TTL_MS, ORDER_MARGIN_MS, RENEWALS_PER_TTL,
} from './constants.js';
import {LeaseError} from './errors.js';
import {callWithTimeout} from './call-with-timeout.js';
import type {OrderLock} from './order-lock.js';

/**
State of the upstream lease.

- `none`: not obtained yet, lost or released.
- `held`: held, and not expired on the monotonic clock.
- `unconfirmed`: held, but expired on the monotonic clock without a successful renewal.
*/
export type LeaseState = 'none' | 'held' | 'unconfirmed';

export type UpstreamLeaseOptions = {
	readonly keyValue: Pick<KeyValueService, 'read' | 'write' | 'grantLease' | 'renewLease' | 'revokeLease'>;

	/** Id of the VM; the lease is bound to the key `upstreams/<vm>`. */
	readonly vmId: string;

	/** Unique for each process start, so that the process recognises its own write after the answer to it was lost. */
	readonly owner: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Duration of the lease. */
	readonly ttlMs?: number;

	/** True if the engine rejects orders whose fencing number is lower than one that it has seen. */
	readonly engineChecksFencing: boolean;

	/** Acquired before the lease. Required for engines that ignore fencing numbers. */
	readonly orderLock?: OrderLock;

	/** No order starts within this time before the lease expires. */
	readonly orderMarginMs?: number;

	/** Timeout of one call to the key-value service. */
	readonly callTimeoutMs?: number;
};

type HeldLease = {
	readonly lease: Lease;

	/** Monotonic time in milliseconds before which the key-value service cannot grant the lease to another process. */
	readonly validUntil: number;

	/** True if the last renewal failed although the lease was not reported as expired, for example because the service gave no answer. */
	readonly isRenewalUnanswered: boolean;
};

/** Lease that gives one agent the exclusive right to send orders to its upstream. Each new holder gets a higher fencing number. */
export class UpstreamLease {
	readonly #options: Required<Omit<UpstreamLeaseOptions, 'orderLock'>> & Pick<UpstreamLeaseOptions, 'orderLock'>;
	readonly #key: string;
	#heldLease: HeldLease | undefined;
	#loop: Promise<void> | undefined;

	/** @throws {LeaseError} of kind `lock-missing` if the engine ignores fencing numbers and no order lock is given. */
	constructor(options: UpstreamLeaseOptions) {
		if (!options.engineChecksFencing && !options.orderLock) {
			throw new LeaseError({
				kind: 'lock-missing',
				detail: 'The engine ignores fencing numbers and there is no order lock.',
				remedy: 'Give an orderLock, or set checks_fencing = yes if the engine checks them.',
			});
		}

		this.#options = {
			ttlMs: LEASE_TTL_MS, orderMarginMs: ORDER_MARGIN_MS, callTimeoutMs: LEASE_CALL_TIMEOUT_MS, ...options,
		};
		this.#key = `upstreams/${options.vmId}`;
	}

	get state(): LeaseState {
		if (!this.#heldLease) {
			return 'none';
		}

		return this.#options.clock.monotonic() < this.#heldLease.validUntil ? 'held' : 'unconfirmed';
	}

	/**
	The fencing number for an order that is sent now, or a `LeaseError` if none may be sent. Must be called before each order.

	An engine that checks fencing rejects the number once another agent has sent a higher one. With such an engine the last number
	stays usable after the lease has expired, as long as the key-value service does not answer renewals.
	*/
	readonly currentFencingNumber = (): Result<number, LeaseError> => {
		const {clock, engineChecksFencing: checksFencing, orderMarginMs, orderLock} = this.#options;
		if (!this.#heldLease) {
			return Err(new LeaseError({kind: 'not-held', detail: `The lease ${this.#key} is not held.`, remedy: 'Wait until it is obtained; see the log of the lease.'}));
		}

		if (orderLock && !orderLock.held) {
			return Err(new LeaseError({kind: 'lock-taken', detail: 'The order lock is not held.', remedy: 'Stop the other agent of this upstream.'}));
		}

		const {lease, validUntil, isRenewalUnanswered} = this.#heldLease;
		const isValid = clock.monotonic() + orderMarginMs < validUntil;
		if (isValid || (checksFencing && isRenewalUnanswered)) {
			return Ok(lease.fencingNumber);
		}

		return Err(new LeaseError({kind: 'expired', detail: `The lease ${this.#key} ran out.`, remedy: 'Wait until it is renewed; check that the key-value service answers.'}));
	};

	/** Acquires the lease, renews it until the signal aborts, then releases it. Resolves after the first attempt to acquire it. */
	async start(signal: AbortSignal): Promise<void> {
		await this.#acquireOrRenew();
		this.#loop = this.#run(signal);
	}

	/** Resolves when the lease has been released, after the signal of `start` has aborted. */
	async stopped(): Promise<void> {
		await this.#loop;
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock, ttlMs} = this.#options;
		const renewalMs = ttlMs / RENEWALS_PER_TTL;
		while (!signal.aborted) {
			const isConfirmed = this.#heldLease !== undefined && !this.#heldLease.isRenewalUnanswered;
			await clock.sleep(isConfirmed ? renewalMs : renewalMs / RENEWALS_PER_TTL, signal);
			if (!signal.aborted) {
				await this.#acquireOrRenew();
			}
		}

		await this.#release();
	}

	async #acquireOrRenew(): Promise<void> {
		try {
			await (this.#heldLease ? this.#renew(this.#heldLease) : this.#acquire());
		} catch (error) {
			this.#options.log.error('Lease could not be acquired or renewed; retrying.', {error: describeError(error)});
		}
	}

	async #renew(held: HeldLease): Promise<void> {
		const {clock, keyValue, log, metrics, ttlMs} = this.#options;
		const requestedAt = clock.monotonic();
		const answer = await this.#call(keyValue.renewLease(held.lease.id), 'renewLease');
		if (answer.ok) {
			this.#heldLease = {...held, validUntil: requestedAt + Math.min(answer.val, ttlMs), isRenewalUnanswered: false};
			return;
		}

		metrics.count('lease.renewal_failures', {kind: answer.val.kind});
		if (answer.val.kind === 'lease-expired' || answer.val.kind === 'not-found') {
			log.warn('Lease lost.', {key: this.#key, fencingNumber: held.lease.fencingNumber});
			this.#heldLease = undefined;
			await this.#acquire();
			return;
		}

		this.#heldLease = {...held, isRenewalUnanswered: true};
	}

	/** Acquires the order lock, then a new lease, then binds the key to it. A lease whose grant was not received expires by itself. */
	async #acquire(): Promise<void> {
		const {clock, keyValue, orderLock, log, metrics, ttlMs, owner} = this.#options;
		const lock = await orderLock?.acquire();
		if (lock?.err) {
			log.warn(lock.val.message);
			return;
		}

		const current = await this.#call(keyValue.read(this.#key), 'read');
		// A key that an earlier lease of this process left behind, for example after a lost answer, is overwritten.
		if (current.err || (current.val && !current.val.value.startsWith(`${owner} `))) {
			metrics.count('lease.waits', {reason: current.err ? current.val.kind : 'held-by-other'});
			return;
		}

		const requestedAt = clock.monotonic();
		const grant = await this.#call(keyValue.grantLease(ttlMs), 'grantLease');
		if (grant.err) {
			metrics.count('lease.grant_failures', {kind: grant.val.kind});
			return;
		}

		const lease = grant.val;
		if (!await this.#bindKey(lease, current.val?.version ?? 0)) {
			await this.#call(keyValue.revokeLease(lease.id), 'revokeLease');
			return;
		}

		log.info('Lease obtained.', {key: this.#key, fencingNumber: lease.fencingNumber});
		this.#heldLease = {lease, validUntil: requestedAt + Math.min(lease.ttlMs, ttlMs), isRenewalUnanswered: false};
	}

	/** Binds the key to the lease. A write whose answer was lost counts as successful only if the key then contains the fencing number of this lease. */
	async #bindKey(lease: Lease, expectedVersion: number): Promise<boolean> {
		const {keyValue, owner} = this.#options;
		const value = `${owner} ${lease.fencingNumber}`;
		const written = await this.#call(keyValue.write(this.#key, value, {expectedVersion, lease: lease.id}), 'write');
		if (written.ok) {
			return true;
		}

		if (written.val.kind !== 'unknown-outcome') {
			return false;
		}

		const readBack = await this.#call(keyValue.read(this.#key), 'read');
		return readBack.ok && readBack.val?.value === value;
	}

	async #release(): Promise<void> {
		const {keyValue, orderLock} = this.#options;
		const held = this.#heldLease;
		this.#heldLease = undefined;
		if (held) {
			await this.#call(keyValue.revokeLease(held.lease.id), 'revokeLease');
		}

		await orderLock?.release();
	}

	async #call<Value>(work: Promise<Result<Value, PlatformError>>, subject: string): Promise<Result<Value, PlatformError>> {
		const {clock, callTimeoutMs} = this.#options;
		return callWithTimeout(work, {clock, timeoutMs: callTimeoutMs, subject});
	}
}
