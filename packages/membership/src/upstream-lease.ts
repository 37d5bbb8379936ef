import {
	describeError, Err, Ok, type Clock, type Log, type Metrics, type Result,
} from '@yuccawood/common';
import {type PlatformError, type KeyValueService, type Lease} from '@yuccawood/interfaces';
import {
	LEASE_CALL_TIMEOUT_MS, LEASE_TTL_MS, ORDER_MARGIN_MS, RENEWALS_PER_TTL,
} from './constants.js';
import {LeaseError} from './errors.js';
import {limitedCall} from './call-with-timeout.js';
import type {OrderLock} from './order-lock.js';

/**
State of the upstream lease.

- `none`: not obtained yet, lost, or released.
- `held`: valid on the monotonic clock.
- `unconfirmed`: past its time while the key-value service gives no answer.
*/
export type LeaseState = 'none' | 'held' | 'unconfirmed';

export type UpstreamLeaseOptions = {
	readonly keyValue: Pick<KeyValueService, 'read' | 'write' | 'grantLease' | 'renewLease' | 'revokeLease'>;

	/** Id of the VM; the lease is bound to the key `upstreams/<vm>`. */
	readonly vm: string;

	/** Text that differs for each process start, so that a write whose answer was lost can be recognised. */
	readonly owner: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly ttlMs?: number;

	/** True if the engine refuses orders with an old fencing number. */
	readonly checksFencing: boolean;

	/** Taken before the lease; needed for engines that ignore fencing numbers. */
	readonly orderLock?: OrderLock;
	readonly orderMarginMs?: number;
	readonly callTimeoutMs?: number;
};

type Held = {
	readonly lease: Lease;

	/** Monotonic time until which the key-value service cannot have given the lease to another process. */
	readonly validUntil: number;

	/** True after an attempt to renew that got no answer. */
	readonly isServiceSilent: boolean;
};

/** The exclusive right of an agent to send orders to its upstream, with a fencing number for each holder. */
export class UpstreamLease {
	readonly #options: Required<Omit<UpstreamLeaseOptions, 'orderLock'>> & Pick<UpstreamLeaseOptions, 'orderLock'>;
	readonly #key: string;
	#held: Held | undefined;
	#loop: Promise<void> | undefined;

	/** @throws {LeaseError} of kind `lock-missing` for an engine that ignores fencing numbers without an order lock. */
	constructor(options: UpstreamLeaseOptions) {
		if (!options.checksFencing && !options.orderLock) {
			throw new LeaseError({
				kind: 'lock-missing',
				detail: 'The engine ignores fencing numbers and there is no order lock.',
				remedy: 'Give an orderLock, or set checks_fencing = yes if the engine checks them.',
			});
		}

		this.#options = {
			ttlMs: LEASE_TTL_MS, orderMarginMs: ORDER_MARGIN_MS, callTimeoutMs: LEASE_CALL_TIMEOUT_MS, ...options,
		};
		this.#key = `upstreams/${options.vm}`;
	}

	get state(): LeaseState {
		if (!this.#held) {
			return 'none';
		}

		return this.#options.clock.monotonic() < this.#held.validUntil ? 'held' : 'unconfirmed';
	}

	/**
	The fencing number for an order that is sent now. Call it before each order.

	An engine that checks fencing refuses the number once another agent has sent a higher one, so with such an engine the last
	number may be used while the key-value service gives no answer.
	*/
	readonly fencing = (): Result<number, LeaseError> => {
		const {clock, checksFencing, orderMarginMs, orderLock} = this.#options;
		if (!this.#held) {
			return Err(new LeaseError({kind: 'not-held', detail: `The lease ${this.#key} is not held.`, remedy: 'Wait until it is obtained; see the log of the lease.'}));
		}

		if (orderLock && !orderLock.held) {
			return Err(new LeaseError({kind: 'lock-taken', detail: 'The order lock is not held.', remedy: 'Stop the other agent of this upstream.'}));
		}

		const {lease, validUntil, isServiceSilent} = this.#held;
		const isValid = clock.monotonic() + orderMarginMs < validUntil;
		if (isValid || (checksFencing && isServiceSilent)) {
			return Ok(lease.fencingNumber);
		}

		return Err(new LeaseError({kind: 'expired', detail: `The lease ${this.#key} ran out.`, remedy: 'Wait until it is renewed; check that the key-value service answers.'}));
	};

	/** Obtains the lease and keeps it until the signal aborts, then gives it back. Resolves after the first attempt. */
	async start(signal: AbortSignal): Promise<void> {
		await this.#step();
		this.#loop = this.#run(signal);
	}

	/** Resolves when the lease has been given back after the signal of `start` has aborted. */
	async stopped(): Promise<void> {
		await this.#loop;
	}

	async #run(signal: AbortSignal): Promise<void> {
		const {clock, ttlMs} = this.#options;
		const renewalMs = ttlMs / RENEWALS_PER_TTL;
		while (!signal.aborted) {
			const isFine = this.#held !== undefined && !this.#held.isServiceSilent;
			await clock.sleep(isFine ? renewalMs : renewalMs / RENEWALS_PER_TTL, signal);
			if (!signal.aborted) {
				await this.#step();
			}
		}

		await this.#release();
	}

	async #step(): Promise<void> {
		try {
			await (this.#held ? this.#renew(this.#held) : this.#acquire());
		} catch (error) {
			this.#options.log.error('Lease step failed.', {error: describeError(error)});
		}
	}

	async #renew(held: Held): Promise<void> {
		const {clock, keyValue, log, metrics, ttlMs} = this.#options;
		const askedAt = clock.monotonic();
		const answer = await this.#call(keyValue.renewLease(held.lease.id), 'renewLease');
		if (answer.ok) {
			this.#held = {...held, validUntil: askedAt + Math.min(answer.val, ttlMs), isServiceSilent: false};
			return;
		}

		metrics.count('lease.renewal_failures', {kind: answer.val.kind});
		if (answer.val.kind === 'lease-expired' || answer.val.kind === 'not-found') {
			log.warn('Lease lost.', {key: this.#key, fencingNumber: held.lease.fencingNumber});
			this.#held = undefined;
			await this.#acquire();
			return;
		}

		this.#held = {...held, isServiceSilent: true};
	}

	/** Takes the order lock, then a new lease, then the key. A lease whose grant got lost ends by itself. */
	async #acquire(): Promise<void> {
		const {clock, keyValue, orderLock, log, metrics, ttlMs, owner} = this.#options;
		const lock = await orderLock?.acquire();
		if (lock?.err) {
			log.warn(lock.val.message);
			return;
		}

		const current = await this.#call(keyValue.read(this.#key), 'read');
		// A key left by an own earlier lease, for example after a lost answer, is taken over.
		if (current.err || (current.val && !current.val.value.startsWith(`${owner} `))) {
			metrics.count('lease.waits', {reason: current.err ? current.val.kind : 'held-by-other'});
			return;
		}

		const askedAt = clock.monotonic();
		const grant = await this.#call(keyValue.grantLease(ttlMs), 'grantLease');
		if (grant.err) {
			metrics.count('lease.grant_failures', {kind: grant.val.kind});
			return;
		}

		const lease = grant.val;
		if (!await this.#bind(lease, current.val?.version ?? 0)) {
			await this.#call(keyValue.revokeLease(lease.id), 'revokeLease');
			return;
		}

		log.info('Lease obtained.', {key: this.#key, fencingNumber: lease.fencingNumber});
		this.#held = {lease, validUntil: askedAt + Math.min(lease.ttlMs, ttlMs), isServiceSilent: false};
	}

	/** Binds the key to the lease. A write whose answer was lost counts only if reading back shows this lease's number. */
	async #bind(lease: Lease, expectedVersion: number): Promise<boolean> {
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
		const held = this.#held;
		this.#held = undefined;
		if (held) {
			await this.#call(keyValue.revokeLease(held.lease.id), 'revokeLease');
		}

		await orderLock?.release();
	}

	async #call<Value>(work: Promise<Result<Value, PlatformError>>, subject: string): Promise<Result<Value, PlatformError>> {
		const {clock, callTimeoutMs} = this.#options;
		return limitedCall(work, {clock, timeoutMs: callTimeoutMs, subject});
	}
}
