import {compareVersions, type RecordVersion} from './record-order.js';
import type {MemberRecord} from './types.js';

export type Tombstone = RecordVersion & {
	readonly id: string;
	readonly address: string;
	readonly since: number;
};

/** Versions of members declared dead. Records that are not newer are refused, so a stale record cannot bring a dead member back. */
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

	/** Records a death. The oldest tombstone is evicted when there are too many. */
	add({id, address, incarnation, sequence}: Pick<MemberRecord, 'id' | 'address' | 'incarnation' | 'sequence'>, now: number): void {
		this.#byId.delete(id);
		this.#byId.set(id, {
			id, address, incarnation, sequence, status: 'dead', since: now,
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
		for (const {id, since} of this.#byId.values()) {
			if (now - since < this.#retentionMs) {
				return;
			}

			this.#byId.delete(id);
		}
	}

	/** Addresses of members that died within the given time. */
	addressesSince(time: number): readonly string[] {
		return [...this.#byId.values()].filter(({since}) => since >= time).map(({address}) => address);
	}
}
