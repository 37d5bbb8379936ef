/**
Computes the rate of a transfer to an engine that serves requests over the same link.

Load pattern: a rollout that starts on time, or that made no progress while the origin was down. The transfer is only as
fast as it must be for the first group of engines to switch on time; live requests use the rest of the link.
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

/**
The rate needed from the start is a lower limit, so that the transfer does not slow down as fewer pieces remain.
@returns bytes per second
*/
export const transferRate = ({totalBytes, remainingBytes, startedAt, dueAt, now, linkBytesPerSecond}: TransferProgress & {
	/** Time at which all pieces should be held, in monotonic milliseconds. */
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
