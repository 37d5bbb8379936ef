import {MAX_CONCURRENT_NOTICES} from './constants.js';
import type {Claim} from './messages.js';
import type {MemberRecord} from './types.js';

/** Parameters of `membership.leave`. The record is present only if the leaving member sends the notice itself. */
export type LeaveNotice = {
	readonly claim: Claim;
	readonly record?: MemberRecord;
};

/** Runs the call for each member, at most `MAX_CONCURRENT_NOTICES` at the same time. */
export const callEach = async (members: readonly MemberRecord[], call: (member: MemberRecord) => Promise<void>): Promise<void> => {
	const remaining = [...members];
	const callNext = async (): Promise<void> => {
		for (let member = remaining.pop(); member; member = remaining.pop()) {
			await call(member);
		}
	};

	await Promise.all(Array.from({length: MAX_CONCURRENT_NOTICES}, callNext));
};
