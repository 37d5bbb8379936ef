import {Publisher, type Clock} from '@yuccawood/common';
import {recordChecksum, compareVersions, mergeRecords} from './record-order.js';
import {versionOf, type Claim} from './messages.js';
import {Tombstones} from './tombstones.js';
import type {MemberRecord} from './types.js';

/** Records of the other members, and tombstones of those declared dead. */
export class MemberDirectory {
	readonly changePublisher = new Publisher<MemberRecord>();
	readonly #clock: Clock;
	readonly #tombstones: Tombstones;
	readonly #deadRetentionMs: number;
	readonly #records = new Map<string, MemberRecord>();
	readonly #statusChangedAt = new Map<string, number>();
	#live: readonly MemberRecord[] | undefined;
	#highestRevision = 0;
	#checksum = 0;

	constructor({clock, deadRetentionMs, tombstoneRetentionMs, maxTombstones}: {
		readonly clock: Clock;
		readonly deadRetentionMs: number;
		readonly tombstoneRetentionMs: number;
		readonly maxTombstones: number;
	}) {
		this.#clock = clock;
		this.#deadRetentionMs = deadRetentionMs;
		this.#tombstones = new Tombstones({retentionMs: tombstoneRetentionMs, limit: maxTombstones});
	}

	/** Other members that are not declared dead. Each change of a record produces a new array. */
	get live(): readonly MemberRecord[] {
		this.#live ??= [...this.#records.values()].filter(({status}) => status !== 'dead');
		return this.#live;
	}

	/** Highest configuration revision of all records so far. */
	get highestRevision(): number {
		return this.#highestRevision;
	}

	/** Sum of the record checksums of the other members. */
	get checksum(): number {
		return this.#checksum;
	}

	get tombstoneCount(): number {
		return this.#tombstones.size;
	}

	/** The record of a member. Records of dead members are available until `expire` drops them. */
	get(id: string): MemberRecord | undefined {
		return this.#records.get(id);
	}

	/** The newest version known of a member, from its record or its tombstone. */
	latestClaim(id: string): Claim | undefined {
		const record = this.#records.get(id);
		if (record) {
			return [id, record.incarnation, record.sequence, record.status, record.revision];
		}

		const tombstone = this.#tombstones.get(id);
		return tombstone && [id, tombstone.incarnation, tombstone.sequence, 'dead', 0];
	}

	/** Monotonic time in milliseconds at which this process last saw the status or incarnation of a member change; 0 for an unknown member. */
	statusChangedAt(id: string): number {
		return this.#statusChangedAt.get(id) ?? 0;
	}

	/** Sets the time of the last status change of all members to now, after this process was paused. */
	resetStatusTimes(): void {
		for (const id of this.#statusChangedAt.keys()) {
			this.#statusChangedAt.set(id, this.#clock.monotonic());
		}
	}

	/**
	Merges a record.

	@returns `changed` if it was newer than the known one, `stale` if a newer version is known, `same` otherwise.
	*/
	apply(incoming: MemberRecord): 'changed' | 'same' | 'stale' {
		const known = this.#records.get(incoming.id);
		if (!known) {
			return this.#applyNew(incoming);
		}

		const merged = mergeRecords(known, incoming);
		if (merged === known) {
			return compareVersions(incoming, known) < 0 ? 'stale' : 'same';
		}

		const isNewVersion = compareVersions(merged, known) > 0;
		this.#store(merged, known.status !== merged.status || known.incarnation !== merged.incarnation);
		return isNewVersion ? 'changed' : 'same';
	}

	/**
	Merges a version without its description.

	@returns `changed` if it was newer than the known one, `stale` if a newer version is known, `unknown` if the record has to be fetched, `same` otherwise.
	*/
	applyClaim(claim: Claim): 'changed' | 'same' | 'stale' | 'unknown' {
		const [id, incarnation, sequence, status, revision] = claim;
		const known = this.#records.get(id);
		if (!known) {
			return this.#tombstones.covers(id, versionOf(claim)) ? this.#compareTombstone(claim) : 'unknown';
		}

		// A newer sequence may come with another description of the upstream, so the full record is needed, except for a death.
		const isDescribed = known.incarnation === incarnation && known.sequence === sequence;
		if (!isDescribed && status !== 'dead' && compareVersions(versionOf(claim), known) > 0) {
			return 'unknown';
		}

		return this.apply({
			...known, incarnation, sequence, status, revision,
		});
	}

	/** Drops records of dead members and tombstones whose retention time has ended. @returns the ids of the dropped records. */
	expire(): readonly string[] {
		const now = this.#clock.monotonic();
		this.#tombstones.expire(now);
		const dropped: string[] = [];
		for (const {id, status} of this.#records.values()) {
			if (status === 'dead' && now - this.statusChangedAt(id) >= this.#deadRetentionMs) {
				this.#records.delete(id);
				this.#statusChangedAt.delete(id);
				dropped.push(id);
			}
		}

		return dropped;
	}

	/** Addresses of members that were declared dead within the last `withinMs` milliseconds. */
	lostAddresses(withinMs: number): readonly string[] {
		return this.#tombstones.addressesSince(this.#clock.monotonic() - withinMs);
	}

	#applyNew(incoming: MemberRecord): 'changed' | 'same' | 'stale' {
		if (this.#tombstones.covers(incoming.id, incoming)) {
			return incoming.status === 'dead' ? 'same' : 'stale';
		}

		if (incoming.status === 'dead') {
			// For a member that was never known here, only a tombstone is kept.
			this.#tombstones.add(incoming, this.#clock.monotonic());
			return 'same';
		}

		this.#store(incoming, true);
		return 'changed';
	}

	#compareTombstone(claim: Claim): 'same' | 'stale' {
		return claim[3] === 'dead' ? 'same' : 'stale';
	}

	#store(record: MemberRecord, isStatusChange: boolean): void {
		const known = this.#records.get(record.id);
		this.#checksum += recordChecksum(record) - (known ? recordChecksum(known) : 0);
		this.#records.set(record.id, record);
		this.#live = undefined;
		this.#highestRevision = Math.max(this.#highestRevision, record.revision);
		if (isStatusChange) {
			this.#statusChangedAt.set(record.id, this.#clock.monotonic());
		}

		if (record.status === 'dead') {
			this.#tombstones.add(record, this.#clock.monotonic());
		} else {
			this.#tombstones.remove(record.id);
		}

		this.changePublisher.publish(record);
	}
}
