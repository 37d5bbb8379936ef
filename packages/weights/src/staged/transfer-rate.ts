/**
Rate of a transfer to an engine that serves requests over the same link.

Load pattern: a rollout that starts in time, or that stood still while the origin was away. Live requests keep as much of
the link as the turn of the first group leaves.
*/
import {MIN_TRANSFER_SHARE, MAX_SERVING_TRANSFER_SHARE} from './constants.js';

/** Sizes in bytes, times in monotonic milliseconds. */
export type TransferProgress = {
	readonly totalBytes: number;
	readonly remainingBytes: number;
	readonly startedAt: number;
};

const rateUntil = (bytes: number, {from, until}: {readonly from: number; readonly until: number}): number =>
	until > from ? bytes * 1000 / (until - from) : Number.POSITIVE_INFINITY;

/** @returns bytes per second */
export const transferRate = ({totalBytes, remainingBytes, startedAt, dueAt, now, linkBytesPerSecond}: TransferProgress & {
	/** Monotonic time at which all pieces should be held. */
	readonly dueAt: number;
	readonly now: number;
	readonly linkBytesPerSecond: number;
}): number => {
	const needed = Math.max(
		rateUntil(totalBytes, {from: startedAt, until: dueAt}),
		rateUntil(remainingBytes, {from: now, until: dueAt}),
	);
	return Math.max(linkBytesPerSecond * MIN_TRANSFER_SHARE, Math.min(linkBytesPerSecond * MAX_SERVING_TRANSFER_SHARE, needed));
};
