/** Ends transfers of older versions that a newer one replaces in time. */
import type {Clock, Log} from '@yuccawood/common';
import {EXPECTED_SWITCH_MS, EXPECTED_TRANSFER_SHARE, TRANSFER_ORDER_MS} from './constants.js';
import {expectedIdleMs, transferOrder, type TransferForecast} from './transfer-order.js';

/** A version that is being brought onto the engine. */
export type Transfer = {
	readonly version: number;

	/** Monotonic milliseconds. */
	readonly learnedAt: number;
};

export type SupersededTransferOptions = {
	readonly linkBytesPerSecond: number;

	/** Time from the naming of a version until older ones may no longer be used, in milliseconds. */
	readonly usableMs: number;

	/** Transfers in progress whose pieces are not all held, and what ends them. */
	readonly pendingTransfers: () => ReadonlyArray<{readonly transfer: Transfer; readonly end: () => void}>;

	/** Bytes of a version that are not held; nothing while its digests are not known. */
	readonly missingBytesOf: (version: number) => number | undefined;

	/** Bytes of all pieces of a version. */
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
	Decides the order anew until no older transfer is left or the signal aborts. Called once the newer version is sure to
	arrive: until then the origin may go away, and the older version is better than none.
	*/
	async cancelOlder(newer: Transfer, signal: AbortSignal): Promise<void> {
		const {pendingTransfers: pending, clock, log} = this.#options;
		while (!signal.aborted) {
			const older = pending().filter(({transfer: {version}}) => version < newer.version);
			if (older.length === 0) {
				return;
			}

			for (const {transfer, end} of older) {
				const forecast = this.#forecast(transfer, newer);
				if (transferOrder(forecast) === 'newer only') {
					log.info('A newer version arrives; the transfer of the older one ends.', {
						from: transfer.version, to: newer.version, olderBytes: forecast.older.remainingBytes, newerBytes: forecast.newer.remainingBytes, idleMs: expectedIdleMs(forecast),
					});
					end();
				}
			}

			await clock.sleep(TRANSFER_ORDER_MS, signal);
		}
	}

	#forecast(older: Transfer, newer: Transfer): TransferForecast {
		const {linkBytesPerSecond, usableMs, missingBytesOf: missingBytes, sizeBytesOf: sizeOf, clock} = this.#options;
		// An older version whose digests are not known yet lacks all its pieces.
		const remaining = ({version, learnedAt}: Transfer) => ({learnedAt, remainingBytes: missingBytes(version) ?? sizeOf(newer.version)});
		return {
			older: remaining(older), newer: remaining(newer), now: clock.monotonic(), bytesPerSecond: linkBytesPerSecond * EXPECTED_TRANSFER_SHARE,
			switchMs: EXPECTED_SWITCH_MS, usableMs,
		};
	}
}
