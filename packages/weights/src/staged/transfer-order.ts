/**
Decides the order of two transfers to an engine when a newer target version is set before the engine holds the older one.

Load pattern: the link carries one version in about the time that the staleness bound allows. After the bound of the older
version, the engine may serve only these two versions; after the bound of the newer one, only the newer. If both are
transferred one after the other, the newer one may arrive long after its bound. If only the newer one is transferred, the
engine may have no usable version after the bound of the older one.
*/

import {NEARLY_COMPLETE_SHARE} from './constants.js';

/** State of the transfer of one version. */
export type TransferState = {
	/** Time when this agent learned that the version was set as the target, in monotonic milliseconds. */
	readonly learnedAt: number;
	readonly remainingBytes: number;
};

export type TransferForecast = {
	readonly older: TransferState;
	readonly newer: TransferState;

	/** Monotonic milliseconds. */
	readonly now: number;

	/** Expected total rate at which pieces arrive. */
	readonly bytesPerSecond: number;

	/** Time from the arrival of the last piece to the first request on the version, in milliseconds. */
	readonly switchMs: number;

	/** Time from when a version is set as the target until older ones may no longer be used, in milliseconds. */
	readonly usableMs: number;
};

/** `newer only`: the transfer of the older version is cancelled. */
export type TransferOrder = 'older first' | 'newer only';

/** Expected time in which the engine has no version that it may serve, in milliseconds, for each order. */
export const expectedIdleMs = ({older, newer, now, bytesPerSecond, switchMs, usableMs}: TransferForecast): Readonly<Record<TransferOrder, number>> => {
	const usableAt = (bytes: number): number => now + (bytes * 1000 / bytesPerSecond) + switchMs;
	const [olderBoundAt, newerBoundAt] = [older.learnedAt + usableMs, newer.learnedAt + usableMs];
	const olderUsableAt = usableAt(older.remainingBytes);
	const newerUsableAt = usableAt(older.remainingBytes + newer.remainingBytes) + switchMs;
	return {
		'newer only': Math.max(0, usableAt(newer.remainingBytes) - olderBoundAt),
		'older first': olderUsableAt >= newerBoundAt
			? Math.max(0, newerUsableAt - olderBoundAt)
			: Math.max(0, olderUsableAt - olderBoundAt) + Math.max(0, newerUsableAt - newerBoundAt),
	};
};

/**
Whether the older version can still serve before only the newer one may, if its pieces arrived from now on at this rate.
With the full line rate, a version that can't is of no use in any case.
*/
export const canServeInTime = ({older, newer, now, bytesPerSecond, switchMs, usableMs}: TransferForecast): boolean =>
	now + (older.remainingBytes * 1000 / bytesPerSecond) + switchMs < newer.learnedAt + usableMs;

/**
Puts the older version first only when that leaves the engine with less time without a usable version. When both orders
leave it the same time, a nearly complete older version is finished first, since the newer one may still be delayed.
*/
export const transferOrder = (forecast: TransferForecast): TransferOrder => {
	const {older, newer} = forecast;
	const idleMs = expectedIdleMs(forecast);
	if (idleMs['older first'] === idleMs['newer only']) {
		return older.remainingBytes <= newer.remainingBytes * NEARLY_COMPLETE_SHARE ? 'older first' : 'newer only';
	}

	return idleMs['older first'] < idleMs['newer only'] ? 'older first' : 'newer only';
};
