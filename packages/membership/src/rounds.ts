/** Loops that keep the table of a running process. */
import {
	describeError, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import type {ByteBudget} from './byte-budget.js';
import {EXCHANGE_OVERHEAD_BYTES, EARLY_EXCHANGE_FACTOR, RESERVE_BYTES} from './constants.js';
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

/** Pings one member per period, and declares members dead whose suspicion is over. */
export const pingUntilAborted = async ({detector, directory, queue, clock, log, metrics, periodMs, pingTimeoutMs, indirectPingTimeoutMs, signal}: RoundOptions & {
	readonly detector: FailureDetector;
}): Promise<void> => {
	// A round that took longer than all its time limits together was interrupted by a pause of the process.
	const pauseMs = (2 * periodMs) + (2 * pingTimeoutMs) + indirectPingTimeoutMs;
	while (!signal.aborted) {
		const before = clock.monotonic();
		try {
			await detector.probe();
		} catch (error) {
			log.error('Ping failed.', {error: describeError(error)});
		}

		await clock.sleep(Math.max(0, periodMs - (clock.monotonic() - before)), signal);
		const tookMs = clock.monotonic() - before;
		if (tookMs > pauseMs) {
			log.warn('Process was paused.', {milliseconds: Math.round(tookMs)});
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

/** Spreads changes faster than by the regular pings, as long as the byte budget lasts. */
export const sendChangesUntilAborted = async ({directory, queue, budget, exchange, clock, random, periodMs, signal}: RoundOptions & {
	readonly budget: ByteBudget;
	readonly exchange: (address: string) => Promise<unknown>;
}): Promise<void> => {
	while (!signal.aborted) {
		await clock.sleep(periodMs * EARLY_EXCHANGE_FACTOR, signal);
		const [member] = random.sample(directory.live, 1);
		if (signal.aborted || !member || !queue.hasUnsent || budget.available <= RESERVE_BYTES) {
			continue;
		}

		budget.spend(EXCHANGE_OVERHEAD_BYTES);
		try {
			await exchange(member.address);
		} catch {
			// The failure detector finds out whether the member has failed.
		}
	}
};
