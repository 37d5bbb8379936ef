import type {Clock, Random} from '@yuccawood/common';
import type {MemberDirectory} from './member-directory.js';

/**
Tries seeds and lost members at a low rate until the signal aborts, so that the halves of a healed partition find each other again.

A process that knows nobody tries once per period.
*/
export const reconnectUntilAborted = async ({seeds, ownAddress, directory, exchange, clock, random, signal, periodMs, reconnectPeriodMs, retryAddressesMs}: {
	readonly seeds: readonly string[];
	readonly ownAddress: string;
	readonly directory: MemberDirectory;
	readonly exchange: (address: string) => Promise<unknown>;
	readonly clock: Clock;
	readonly random: Random;
	readonly signal: AbortSignal;
	readonly periodMs: number;
	readonly reconnectPeriodMs: number;
	readonly retryAddressesMs: number;
}): Promise<void> => {
	while (!signal.aborted) {
		const pauseMs = directory.live.length === 0 ? periodMs : reconnectPeriodMs;
		await clock.sleep(pauseMs * (0.5 + random.next()), signal);
		const known = new Set([ownAddress, ...directory.live.map(({address}) => address)]);
		const lost = [...seeds, ...directory.lostAddresses(retryAddressesMs)].filter(address => !known.has(address));
		const [address] = random.sample([...new Set(lost)], 1);
		if (address === undefined || signal.aborted) {
			continue;
		}

		try {
			await exchange(address);
		} catch {
			// The address is tried again later.
		}
	}
};
