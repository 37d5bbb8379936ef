/** Decides for how long a peer that did not send a chunk is not asked again. */
import type {Metrics, Random} from '@yuccawood/common';
import type {AvoidedPeers} from './avoided-peers.js';
import {
	AVOID_ABSENT_MS, AVOID_CORRUPT_MS, AVOID_STALLED_MS, PARENT_TIMEOUT_AT_BALANCE_0_MS, PARENT_TIMEOUT_AT_BALANCE_1_MS,
} from './constants.js';

/**
Longest wait for a peer that answers but does not have the chunk yet, in milliseconds. Decreases exponentially with
`balance`.
*/
export const parentTimeoutMs = (balance: number): number => PARENT_TIMEOUT_AT_BALANCE_0_MS * ((PARENT_TIMEOUT_AT_BALANCE_1_MS / PARENT_TIMEOUT_AT_BALANCE_0_MS) ** balance);

export type FailedAnswer = {
	/** Hashes of the chunk and of its manifest. */
	readonly task: {readonly hash: string; readonly manifest: string};

	/** Position of this member in the order of its region for the chunk. */
	readonly position: number;

	/** Id of the peer, what it answered, and the time since it was first asked, in milliseconds. */
	readonly id: string;
	readonly answer: 'pending' | 'absent' | 'corrupt' | 'failed';
	readonly waitedMs: number;
};

/** Avoids a peer that did not send the chunk, if its answer or the time waited for it calls for that. */
export const avoidAfterFailure = ({avoidance, random, metrics, balance, absentTimeoutMs}: {
	readonly avoidance: AvoidedPeers;
	readonly random: Random;
	readonly metrics: Metrics;
	readonly balance: () => number;
	readonly absentTimeoutMs: number;
}, {task: {hash, manifest}, position, id, answer, waitedMs}: FailedAnswer): void => {
	// Members deeper in the tree wait longer, since their parents get the chunk later. Random jitter keeps members at the
	// same depth from changing their source all at once.
	const timeoutFactor = (1 + (Math.log2(position + 1) / 2)) * (0.75 + (random.next() / 2));
	switch (answer) {
		case 'corrupt': {
			metrics.count('weights.corrupt_chunks', {source: 'peer'});
			avoidance.avoid(id, AVOID_CORRUPT_MS);
			return;
		}

		case 'failed': {
			metrics.count('weights.failed_peers');
			avoidance.avoid(id, AVOID_STALLED_MS);
			return;
		}

		case 'absent': {
			if (waitedMs > absentTimeoutMs * timeoutFactor) {
				avoidance.avoid(id, AVOID_ABSENT_MS, manifest);
			}

			return;
		}

		case 'pending': {
			if (waitedMs > parentTimeoutMs(balance()) * timeoutFactor) {
				avoidance.avoid(id, AVOID_STALLED_MS, hash);
			}
		}
	}
};
