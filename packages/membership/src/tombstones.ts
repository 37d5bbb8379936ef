import {compareVersions, type RecordVersion} from './record-order.js';
import type {MemberRecord} from './types.js';

export type Tombstone = RecordVersion & {
	readonly id: string;
	readonly address: string;

	/** Monotonic time in milliseconds at which this process learned of the death. */
	readonly diedAt: number;
};

/** Versions of members that were declared dead. Records that are not newer than the tombstone are rejected, so a stale record cannot restore a dead member. */
export class Tombstones {
	readonly #byId = new Map<string, Tombstone>();
	readonly #retentionMs: number;
	readonly #limit: number;

	constructor({retentionMs, limit}: {readonly retentionMs: number; readonly limit: number}) {
		this.#retentionMs = retentionMs;
		this.#limit = limit;
	}

	get size(): number {
		return this.#byId.size;
	}

	get(id: string): Tombstone | undefined {
		return this.#byId.get(id);
	}

	/** Adds or replaces the tombstone of a member. Above the limit, the oldest tombstone is evicted. */
	add({id, address, incarnation, sequence}: Pick<MemberRecord, 'id' | 'address' | 'incarnation' | 'sequence'>, now: number): void {
		this.#byId.delete(id);
		this.#byId.set(id, {
			id, address, incarnation, sequence, status: 'dead', diedAt: now,
		});
		const [oldest] = this.#byId.keys();
		if (this.#byId.size > this.#limit) {
			this.#byId.delete(oldest);
		}
	}

	/** True if the member was declared dead at this version or a newer one. */
	covers(id: string, version: RecordVersion): boolean {
		const tombstone = this.#byId.get(id);
		return tombstone !== undefined && compareVersions(version, tombstone) <= 0;
	}

	remove(id: string): void {
		this.#byId.delete(id);
	}

	expire(now: number): void {
		for (const {id, diedAt} of this.#byId.values()) {
			if (now - diedAt < this.#retentionMs) {
				return;
			}

			this.#byId.delete(id);
		}
	}

	/** Addresses of members that were declared dead at or after the given monotonic time. */
	addressesSince(time: number): readonly string[] {
		return [...this.#byId.values()].filter(({diedAt}) => diedAt >= time).map(({address}) => address);
	}
}
