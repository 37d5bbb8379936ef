import {isDeepStrictEqual} from 'node:util';
import {compareVersions} from './record-order.js';
import {versionOf, type Claim} from './messages.js';
import type {MemberPatch, MemberRecord} from './types.js';

/** Result of comparing a claim of another process about this one. */
export type Defence = 'none' | 'refuted' | 'asked-to-leave' | 'contested';

/** The record of this process. Only this process raises its sequence. */
export class OwnRecord {
	#record: MemberRecord;

	constructor(record: MemberRecord) {
		this.#record = record;
	}

	get record(): MemberRecord {
		return this.#record;
	}

	/** A patch that changes nothing is not a change. A changed revision alone keeps the sequence, because revisions travel with every message and are merged separately. */
	update(patch: MemberPatch): void {
		const {status = this.#record.status, upstream = this.#record.upstream} = patch;
		const isDescriptionChange = status !== this.#record.status || !isDeepStrictEqual(upstream, this.#record.upstream);
		const sequence = this.#record.sequence + (isDescriptionChange ? 1 : 0);
		this.#record = {
			...this.#record, status, ...(upstream && {upstream}), sequence, revision: Math.max(this.#record.revision, patch.revision ?? 0),
		};
	}

	/** Answers a claim about this process: refutes suspicion and death, accepts being asked to leave. */
	defend(claim: Claim): Defence {
		const version = versionOf(claim);
		if (compareVersions(version, this.#record) <= 0) {
			return 'none';
		}

		if (version.incarnation > this.#record.incarnation) {
			return 'contested';
		}

		const isAsked = version.status === 'leaving' && this.#record.status !== 'leaving';
		const status = isAsked ? 'leaving' : this.#record.status;
		this.#record = {...this.#record, status, sequence: version.sequence + 1};
		return isAsked ? 'asked-to-leave' : 'refuted';
	}

	/** Raises the incarnation above one known for an earlier process of the same id, whose clock ran ahead. */
	raiseAbove(incarnation: number): void {
		this.#record = {...this.#record, incarnation: Math.max(this.#record.incarnation, incarnation + 1)};
	}
}
