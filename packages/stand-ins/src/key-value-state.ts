/** Entries and leases of the key-value stand-in, independent of HTTP. */
import {randomUUID} from 'node:crypto';
import {Err, Ok, type Result} from '@yuccawood/common';
import {
	MAX_VALUE_BYTES, type FailureBody, type KeyValueEntry, type Lease, type WriteCondition,
} from '@yuccawood/interfaces';

type StoredLease = Lease & {readonly endsAt: number};
type StoredEntry = KeyValueEntry & {readonly lease: string | undefined};

const LEASE_EXPIRED: FailureBody = {kind: 'lease-expired', detail: 'The lease has ended.', remedy: 'Grant a new lease.'};

export class KeyValueState {
	readonly #entries = new Map<string, StoredEntry>();
	readonly #leases = new Map<string, StoredLease>();
	readonly #monotonic: () => number;
	#version = 0;
	#fencingNumber = 0;
	#nextExpiryAt = Number.POSITIVE_INFINITY;

	constructor({monotonic}: {readonly monotonic: () => number}) {
		this.#monotonic = monotonic;
	}

	read(key: string): KeyValueEntry | undefined {
		this.#expireLeases();
		return publicEntry(this.#entries.get(key));
	}

	list(prefix: string): readonly KeyValueEntry[] {
		this.#expireLeases();
		const found = [...this.#entries.values()].filter(({key}) => key.startsWith(prefix));
		return found.sort((a, b) => a.key < b.key ? -1 : 1).map(entry => publicEntry(entry)!);
	}

	/** All keys share one version counter, so a key that is removed and created again gets a higher version. */
	write(key: string, value: string, {expectedVersion, lease}: WriteCondition): Result<number, FailureBody> {
		this.#expireLeases();
		const refusal = this.#checkVersion(key, expectedVersion);
		if (refusal) {
			return Err(refusal);
		}

		if (new TextEncoder().encode(value).byteLength > MAX_VALUE_BYTES) {
			return Err({kind: 'too-large', detail: `The value of ${key} is too large.`, remedy: `Keep values below ${MAX_VALUE_BYTES} bytes.`});
		}

		if (lease !== undefined && !this.#leases.has(lease)) {
			return Err(LEASE_EXPIRED);
		}

		this.#version++;
		this.#entries.set(key, {
			key, value, version: this.#version, lease,
		});
		return Ok(this.#version);
	}

	remove(key: string, expectedVersion: number | undefined): Result<void, FailureBody> {
		this.#expireLeases();
		const refusal = this.#checkVersion(key, expectedVersion);
		if (refusal) {
			return Err(refusal);
		}

		this.#entries.delete(key);
		return Ok(undefined);
	}

	grant(ttlMs: number): Lease {
		this.#expireLeases();
		this.#fencingNumber++;
		const lease = {id: randomUUID(), fencingNumber: this.#fencingNumber, ttlMs};
		const endsAt = this.#monotonic() + ttlMs;
		this.#leases.set(lease.id, {...lease, endsAt});
		this.#nextExpiryAt = Math.min(this.#nextExpiryAt, endsAt);
		return lease;
	}

	renew(id: string): Result<number, FailureBody> {
		this.#expireLeases();
		const held = this.#leases.get(id);
		if (!held) {
			return Err(LEASE_EXPIRED);
		}

		this.#leases.set(id, {...held, endsAt: this.#monotonic() + held.ttlMs});
		return Ok(held.ttlMs);
	}

	revoke(id: string): void {
		this.#leases.delete(id);
		for (const [key, entry] of this.#entries) {
			if (entry.lease === id) {
				this.#entries.delete(key);
			}
		}
	}

	/** Expires all leases at once, as an outage does that lasts longer than they do. @returns their number. */
	expireAllLeases(): number {
		const count = this.#leases.size;
		for (const id of this.#leases.keys()) {
			this.revoke(id);
		}

		return count;
	}

	#checkVersion(key: string, expectedVersion: number | undefined): FailureBody | undefined {
		const currentVersion = this.#entries.get(key)?.version ?? 0;
		return expectedVersion === undefined || expectedVersion === currentVersion
			? undefined
			: {
				kind: 'conflict', detail: `${key} has version ${currentVersion}, not ${expectedVersion}.`, remedy: 'Read the key and decide again.', currentVersion,
			};
	}

	#expireLeases(): void {
		const now = this.#monotonic();
		if (now < this.#nextExpiryAt) {
			return;
		}

		this.#nextExpiryAt = Number.POSITIVE_INFINITY;
		for (const [id, {endsAt}] of this.#leases) {
			if (endsAt <= now) {
				this.revoke(id);
				continue;
			}

			this.#nextExpiryAt = Math.min(this.#nextExpiryAt, endsAt);
		}
	}
}

const publicEntry = (entry: StoredEntry | undefined): KeyValueEntry | undefined => entry && {key: entry.key, value: entry.value, version: entry.version};
