/**
Order of two transfers to an engine: a version that was named, and a newer one named before the engine holds it.

Load pattern: two versions in a row, with a link that carries one of them in about the time that a bound allows. From the
bound of the older version on, only the two may be used; from the bound of the newer one on, only that. One after the
other, the newer may come long after its bound; the newer alone, the engine may have nothing to serve after the bound of
the older.
*/

import {NEARLY_COMPLETE_SHARE} from './constants.js';

/** Times in monotonic milliseconds. */
export type TransferState = {
	/** When the version was named. */
	readonly learnedAt: number;
	readonly remainingBytes: number;
};

export type TransferForecast = {
	readonly older: TransferState;
	readonly newer: TransferState;
	readonly now: number;

	/** Rate that all pieces together arrive with. */
	readonly bytesPerSecond: number;

	/** Time from all pieces to the first request, in milliseconds. */
	readonly switchMs: number;

	/** Time from the naming of a version until older ones may no longer be used, in milliseconds. */
	readonly usableMs: number;
};

export type TransferOrder = 'older first' | 'newer only';

/** Time for which the engine may serve nothing, in milliseconds. */
export const expectedIdleMs = ({older, newer, now, bytesPerSecond, switchMs, usableMs}: TransferForecast): Readonly<Record<TransferOrder, number>> => {
	const arrival = (bytes: number): number => now + (bytes * 1000 / bytesPerSecond) + switchMs;
	const [olderEnds, newerEnds] = [older.learnedAt + usableMs, newer.learnedAt + usableMs];
	const olderArrives = arrival(older.remainingBytes);
	const newerFollows = arrival(older.remainingBytes + newer.remainingBytes) + switchMs;
	return {
		'newer only': Math.max(0, arrival(newer.remainingBytes) - olderEnds),
		'older first': olderArrives >= newerEnds
			? Math.max(0, newerFollows - olderEnds)
			: Math.max(0, olderArrives - olderEnds) + Math.max(0, newerFollows - newerEnds),
	};
};

/**
The older version goes first only where that leaves the engine with less time in which it may serve nothing, or where it
costs little and the newer one may still be held up.
*/
export const transferOrder = (forecast: TransferForecast): TransferOrder => {
	const {older, newer} = forecast;
	const idle = expectedIdleMs(forecast);
	if (idle['older first'] === idle['newer only']) {
		return older.remainingBytes <= newer.remainingBytes * NEARLY_COMPLETE_SHARE ? 'older first' : 'newer only';
	}

	return idle['older first'] < idle['newer only'] ? 'older first' : 'newer only';
};
