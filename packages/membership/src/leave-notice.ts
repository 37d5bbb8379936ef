import {describeError, type Log, type PeerClient} from '@yuccawood/common';
import {LEAVE_CALLS_AT_ONCE, LEAVE_TIMEOUT_MS} from './constants.js';
import type {Claim} from './messages.js';
import type {MemberRecord} from './types.js';

/** Parameters of `membership.leave`. The record is present when the leaving member itself sends the notice. */
export type LeaveNotice = {
	readonly claim: Claim;
	readonly record?: MemberRecord;
};

/** Sends a notice to the members in parallel, with a bounded number of calls at once. Members that give no answer learn it by gossip. */
export const sendLeaveNotice = async (notice: LeaveNotice, {members, peerClient, log}: {
	readonly members: readonly MemberRecord[];
	readonly peerClient: Pick<PeerClient, 'call'>;
	readonly log: Log;
}): Promise<void> => {
	const waiting = [...members];
	const sendNext = async (): Promise<void> => {
		for (let member = waiting.pop(); member; member = waiting.pop()) {
			try {
				await peerClient.call(member.address, 'membership.leave', notice, {timeoutMs: LEAVE_TIMEOUT_MS});
			} catch (error) {
				log.warn('Leave notice got no answer.', {member: member.id, error: describeError(error)});
			}
		}
	};

	await Promise.all(Array.from({length: LEAVE_CALLS_AT_ONCE}, sendNext));
};
