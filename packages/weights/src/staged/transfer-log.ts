/** Tells what a transfer waits for, at intervals, until it ends. */
import type {Clock, Log} from '@yuccawood/common';
import {MAX_LOGGED_SOURCES, TRANSFER_LOG_MS} from './constants.js';

export type TransferLogOptions = {
	readonly version: number;

	/** Pieces that are not held yet. */
	readonly missing: () => number;

	/** Open requests for pieces by source. */
	readonly awaited: () => ReadonlyMap<string, number>;
	readonly clock: Clock;
	readonly log: Log;
};

/** Runs until the signal aborts. Writes nothing for a transfer that takes no longer than the interval. */
export const logTransferProgress = async ({version, missing, awaited, clock, log}: TransferLogOptions, signal: AbortSignal): Promise<void> => {
	for (;;) {
		await clock.sleep(TRANSFER_LOG_MS, signal);
		if (signal.aborted) {
			return;
		}

		const sources = [...awaited()].sort(([, one], [, other]) => other - one);
		log.info('The transfer goes on.', {
			version, missing: missing(), sources: sources.length, awaited: Object.fromEntries(sources.slice(0, MAX_LOGGED_SOURCES)),
		});
	}
};
