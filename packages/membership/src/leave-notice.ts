import {NOTICE_CALLS_AT_ONCE} from './constants.js';
import type {Claim} from './messages.js';
import type {MemberRecord} from './types.js';

/** Parameters of `membership.leave`. The record is present when the leaving member itself sends the notice. */
export type LeaveNotice = {
	readonly claim: Claim;
	readonly record?: MemberRecord;
};

/** Runs the call for each member in parallel, with a bounded number of calls at once. */
export const callEach = async (members: readonly MemberRecord[], call: (member: MemberRecord) => Promise<void>): Promise<void> => {
	const waiting = [...members];
	const callNext = async (): Promise<void> => {
		for (let member = waiting.pop(); member; member = waiting.pop()) {
			await call(member);
		}
	};

	await Promise.all(Array.from({length: NOTICE_CALLS_AT_ONCE}, callNext));
};
