import {isDeepStrictEqual} from 'node:util';
import {compareVersions} from './record-order.js';
import {versionOf, type Claim} from './messages.js';
import type {MemberPatch, MemberRecord} from './types.js';

/**
Outcome of a claim about this process.

- `none`: the claim is not newer than the own record.
- `refuted`: the claim was newer, and the own sequence was raised above it.
- `asked-to-leave`: the claim marks this process as leaving, and the own status became `leaving`.
- `contested`: the claim has a higher incarnation, from an earlier process with this id or from another one that runs now.
*/
export type OwnClaimOutcome = 'none' | 'refuted' | 'asked-to-leave' | 'contested';

/** The record of this process. Only the process itself raises its sequence. */
export class OwnRecord {
	#record: MemberRecord;

	constructor(record: MemberRecord) {
		this.#record = record;
	}

	get record(): MemberRecord {
		return this.#record;
	}

	/**
	Applies a patch. The sequence rises only if the status or the upstream changes.

	A changed revision alone keeps the sequence, because every message carries the sender's revision and revisions are merged separately.
	*/
	update(patch: MemberPatch): void {
		const {status = this.#record.status, upstream = this.#record.upstream} = patch;
		const isDescriptionChange = status !== this.#record.status || !isDeepStrictEqual(upstream, this.#record.upstream);
		const sequence = this.#record.sequence + (isDescriptionChange ? 1 : 0);
		this.#record = {
			...this.#record, status, ...(upstream && {upstream}), sequence, revision: Math.max(this.#record.revision, patch.revision ?? 0),
		};
	}

	/** Handles a claim about this process: refutes suspicion and death, and accepts a request to leave. */
	handleClaim(claim: Claim): OwnClaimOutcome {
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

	/** Raises the incarnation above that of an earlier process with the same id, whose wall clock was ahead. */
	raiseAbove(incarnation: number): void {
		this.#record = {...this.#record, incarnation: Math.max(this.#record.incarnation, incarnation + 1)};
	}
}
