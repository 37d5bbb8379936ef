/** Cancels transfers of older versions that would only delay a newer version. */
import type {Clock, Log} from '@yuccawood/common';
import {EXPECTED_SWITCH_MS, EXPECTED_TRANSFER_SHARE, TRANSFER_ORDER_MS} from './constants.js';
import {
	canServeInTime, expectedIdleMs, transferOrder, type TransferForecast,
} from './transfer-order.js';

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
		const bytesPerSecond = this.#options.linkBytesPerSecond * EXPECTED_TRANSFER_SHARE;
		await this.#cancelWhere(newer, {bytesPerSecond, isSuperseded: forecast => transferOrder(forecast) === 'newer only', signal});
	}

	/**
	Cancels older transfers that can't end in time even at the line rate, as after a long failure of the origin. Their reads
	would only delay those of the newer version. To be called as soon as the size of the newer version is known.
	*/
	async cancelUseless(newer: Transfer, signal: AbortSignal): Promise<void> {
		await this.#cancelWhere(newer, {bytesPerSecond: this.#options.linkBytesPerSecond, isSuperseded: forecast => !canServeInTime(forecast), signal});
	}

	async #cancelWhere(newer: Transfer, {bytesPerSecond, isSuperseded, signal}: {
		readonly bytesPerSecond: number;
		readonly isSuperseded: (forecast: TransferForecast) => boolean;
		readonly signal: AbortSignal;
	}): Promise<void> {
		const {pendingTransfers, clock, log} = this.#options;
		while (!signal.aborted) {
			const older = pendingTransfers().filter(({transfer: {version}}) => version < newer.version);
			if (older.length === 0) {
				return;
			}

			for (const {transfer, cancel} of older) {
				const forecast = this.#forecast(transfer, newer, bytesPerSecond);
				if (isSuperseded(forecast)) {
					log.info('Cancelled the transfer of an older version in favor of a newer one.', {
						from: transfer.version, to: newer.version, olderBytes: forecast.older.remainingBytes, newerBytes: forecast.newer.remainingBytes, idleMs: expectedIdleMs(forecast),
					});
					cancel();
				}
			}

			await clock.sleep(TRANSFER_ORDER_MS, signal);
		}
	}

	#forecast(older: Transfer, newer: Transfer, bytesPerSecond: number): TransferForecast {
		const {usableMs, missingBytesOf, sizeBytesOf, clock} = this.#options;
		// An older version whose digests are not known yet lacks all pieces; it is taken to be as large as the newer one.
		const remaining = ({version, learnedAt}: Transfer) => ({learnedAt, remainingBytes: missingBytesOf(version) ?? sizeBytesOf(newer.version)});
		return {
			older: remaining(older), newer: remaining(newer), now: clock.monotonic(), bytesPerSecond,
			switchMs: EXPECTED_SWITCH_MS, usableMs,
		};
	}
}
