import type {Clock, Random} from '@yuccawood/common';
import type {MemberDirectory} from './member-directory.js';

/**
Contacts seeds and lost members that are not in the table, at a low rate, until the signal aborts.

This joins the two sides of a network partition again once it is over. A process that knows no other member tries once per `periodMs`.
*/
export const reconnectUntilAborted = async ({seeds, ownAddress, directory, exchange, clock, random, signal, periodMs, reconnectPeriodMs, lostAddressRetryMs}: {
	readonly seeds: readonly string[];
	readonly ownAddress: string;
	readonly directory: MemberDirectory;
	readonly exchange: (address: string) => Promise<unknown>;
	readonly clock: Clock;
	readonly random: Random;
	readonly signal: AbortSignal;
	readonly periodMs: number;
	readonly reconnectPeriodMs: number;
	readonly lostAddressRetryMs: number;
}): Promise<void> => {
	while (!signal.aborted) {
		const meanDelayMs = directory.live.length === 0 ? periodMs : reconnectPeriodMs;
		await clock.sleep(meanDelayMs * (0.5 + random.next()), signal);
		const known = new Set([ownAddress, ...directory.live.map(({address}) => address)]);
		const lost = [...seeds, ...directory.lostAddresses(lostAddressRetryMs)].filter(address => !known.has(address));
		const [address] = random.sample([...new Set(lost)], 1);
		if (address === undefined || signal.aborted) {
			continue;
		}

		try {
			await exchange(address);
		} catch {
			// The address is tried again in a later period.
		}
	}
};
