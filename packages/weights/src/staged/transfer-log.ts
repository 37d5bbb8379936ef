/** Logs at intervals how many pieces a transfer lacks and which sources it waits for. */
import type {Clock, Log} from '@yuccawood/common';
import {MAX_LOGGED_SOURCES, TRANSFER_LOG_MS} from './constants.js';

export type TransferLogOptions = {
	readonly version: number;

	/** Number of pieces that are not held yet. */
	readonly missing: () => number;

	/** Number of open requests for pieces by source. */
	readonly awaited: () => ReadonlyMap<string, number>;
	readonly clock: Clock;
	readonly log: Log;
};

/** Runs until the signal aborts. A transfer that is shorter than the interval is not logged. */
export const logTransferProgress = async ({version, missing, awaited, clock, log}: TransferLogOptions, signal: AbortSignal): Promise<void> => {
	for (;;) {
		await clock.sleep(TRANSFER_LOG_MS, signal);
		if (signal.aborted) {
			return;
		}

		const sources = [...awaited()].sort(([, one], [, other]) => other - one);
		log.info('Transfer in progress.', {
			version, missing: missing(), sources: sources.length, awaited: Object.fromEntries(sources.slice(0, MAX_LOGGED_SOURCES)),
		});
	}
};
