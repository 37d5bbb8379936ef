/** Cancels transfers of older versions that would only delay a newer version. */
import type {Clock, Log} from '@yuccawood/common';
import {EXPECTED_SWITCH_MS, EXPECTED_TRANSFER_SHARE, TRANSFER_ORDER_MS} from './constants.js';
import {expectedIdleMs, transferOrder, type TransferForecast} from './transfer-order.js';

/** Transfer of a version to the engine. */
export type Transfer = {
	readonly version: number;

	/** Time when this agent learned that the version was set as the target, in monotonic milliseconds. */
	readonly learnedAt: number;
};

export type SupersededTransferOptions = {
	readonly linkBytesPerSecond: number;

	/** Time from when a version is set as the target until older ones may no longer be used, in milliseconds. */
	readonly usableMs: number;

	/** Transfers in progress that lack pieces, each with a function that cancels it. */
	readonly pendingTransfers: () => ReadonlyArray<{readonly transfer: Transfer; readonly cancel: () => void}>;

	/** Size of the pieces of a version that are not held; undefined while its digests are not known. */
	readonly missingBytesOf: (version: number) => number | undefined;

	/** Size of all pieces of a version; 0 while its digests are not known. */
	readonly sizeBytesOf: (version: number) => number;
	readonly clock: Clock;
	readonly log: Log;
};

export class SupersededTransferCanceller {
	readonly #options: SupersededTransferOptions;

	constructor(options: SupersededTransferOptions) {
		this.#options = options;
	}

	/**
	Decides the order again at intervals, until no older transfer is left or the signal aborts. To be called once the newer
	version no longer depends on the origin: until then the origin may go down, and the older version is better than none.
	*/
	async cancelOlder(newer: Transfer, signal: AbortSignal): Promise<void> {
		const {pendingTransfers, clock, log} = this.#options;
		while (!signal.aborted) {
			const older = pendingTransfers().filter(({transfer: {version}}) => version < newer.version);
			if (older.length === 0) {
				return;
			}

			for (const {transfer, cancel} of older) {
				const forecast = this.#forecast(transfer, newer);
				if (transferOrder(forecast) === 'newer only') {
					log.info('Cancelled the transfer of an older version in favor of a newer one.', {
						from: transfer.version, to: newer.version, olderBytes: forecast.older.remainingBytes, newerBytes: forecast.newer.remainingBytes, idleMs: expectedIdleMs(forecast),
					});
					cancel();
				}
			}

			await clock.sleep(TRANSFER_ORDER_MS, signal);
		}
	}

	#forecast(older: Transfer, newer: Transfer): TransferForecast {
		const {linkBytesPerSecond, usableMs, missingBytesOf, sizeBytesOf, clock} = this.#options;
		// An older version whose digests are not known yet lacks all pieces; it is taken to be as large as the newer one.
		const remaining = ({version, learnedAt}: Transfer) => ({learnedAt, remainingBytes: missingBytesOf(version) ?? sizeBytesOf(newer.version)});
		return {
			older: remaining(older), newer: remaining(newer), now: clock.monotonic(), bytesPerSecond: linkBytesPerSecond * EXPECTED_TRANSFER_SHARE,
			switchMs: EXPECTED_SWITCH_MS, usableMs,
		};
	}
}
