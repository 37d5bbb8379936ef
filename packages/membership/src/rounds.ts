/** Loops that keep the member table of a running process up to date. */
import {
	describeError, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import type {ByteBudget} from './byte-budget.js';
import {EXCHANGE_OVERHEAD_BYTES, EARLY_EXCHANGE_PERIOD_FRACTION, REPLY_RESERVE_BYTES} from './constants.js';
import type {FailureDetector} from './failure-detector.js';
import type {MemberDirectory} from './member-directory.js';
import type {UpdateQueue} from './update-queue.js';

type RoundOptions = {
	readonly directory: MemberDirectory;
	readonly queue: UpdateQueue;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly random: Random;
	readonly periodMs: number;
	readonly pingTimeoutMs: number;
	readonly indirectPingTimeoutMs: number;
	readonly signal: AbortSignal;
};

/** Pings one member per period, declares members dead whose suspicion time has ended, and drops expired records. */
export const pingUntilAborted = async ({detector, directory, queue, clock, log, metrics, periodMs, pingTimeoutMs, indirectPingTimeoutMs, signal}: RoundOptions & {
	readonly detector: FailureDetector;
}): Promise<void> => {
	// If one round takes longer than the sum of its time limits, the process itself was paused.
	const maxRoundMs = (2 * periodMs) + (2 * pingTimeoutMs) + indirectPingTimeoutMs;
	while (!signal.aborted) {
		const startedAt = clock.monotonic();
		try {
			await detector.probe();
		} catch (error) {
			log.error('Ping round failed; the next period continues with another member.', {error: describeError(error)});
		}

		await clock.sleep(Math.max(0, periodMs - (clock.monotonic() - startedAt)), signal);
		const tookMs = clock.monotonic() - startedAt;
		if (tookMs > maxRoundMs) {
			log.warn('Process was paused; suspicion times restart.', {milliseconds: Math.round(tookMs)});
			metrics.count('membership.pauses');
			detector.restartSuspicions();
		}

		detector.expireSuspicions();
		for (const id of directory.expire()) {
			queue.remove(id);
		}

		metrics.gauge('membership.members', directory.live.length + 1);
	}
};

/** Sends changes to random members between the regular pings, while the byte budget stays above the reserve for replies. */
export const sendChangesUntilAborted = async ({directory, queue, budget, exchange, clock, random, periodMs, signal}: RoundOptions & {
	readonly budget: ByteBudget;
	readonly exchange: (address: string) => Promise<unknown>;
}): Promise<void> => {
	while (!signal.aborted) {
		await clock.sleep(periodMs * EARLY_EXCHANGE_PERIOD_FRACTION, signal);
		const [member] = random.sample(directory.live, 1);
		if (signal.aborted || !member || !queue.hasUnsent || budget.available <= REPLY_RESERVE_BYTES) {
			continue;
		}

		budget.spend(EXCHANGE_OVERHEAD_BYTES);
		try {
			await exchange(member.address);
		} catch {
			// Whether the member has failed is decided by the failure detector.
		}
	}
};
