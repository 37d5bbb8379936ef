/**
Determines the oldest version of a model that may answer a request.

During a rollout both versions may answer until shortly before the staleness bound, so that upstreams that have not
switched yet still serve requests. From then on only the target version may.
*/
import type {ModelTarget} from '@yuccawood/fleet';
import {
	CANCEL_MARGIN_MS, MIN_VERSION_MARGIN_MS, UNCANCELLABLE_VERSION_MARGIN_MS, VERSION_MARGIN_MS, VERSION_MARGIN_START_FACTOR,
} from './constants.js';

/**
Time before the staleness bound, in milliseconds, from which requests that can be cancelled go to the target version only.
Engines that start requests soon may use the older version for longer.

@param usualStartMs usual time from a send to the first byte at the engines of the service
*/
export const versionMarginMs = (usualStartMs: number): number =>
	Math.min(VERSION_MARGIN_MS, Math.max(MIN_VERSION_MARGIN_MS, CANCEL_MARGIN_MS + (usualStartMs * VERSION_MARGIN_START_FACTOR)));

/** @returns the oldest version that may answer; undefined when every version may */
export const requiredVersion = (targets: readonly ModelTarget[], {now, boundMs, canCancel, usualStartMs = Number.POSITIVE_INFINITY}: {
	/** Monotonic milliseconds. */
	readonly now: number;

	/** Staleness bound: the longest time for which an older version may answer after a newer one became the target. */
	readonly boundMs: number;

	/** Whether the request can be cancelled while it is queued at an upstream. */
	readonly canCancel: boolean;

	/** Usual time from a send to the first byte at the engines of the service, in milliseconds; unknown by default. */
	readonly usualStartMs?: number;
}): number | undefined => {
	const marginMs = canCancel ? versionMarginMs(usualStartMs) : UNCANCELLABLE_VERSION_MARGIN_MS;
	return targets.findLast(({learnedAt}) => now - learnedAt >= boundMs - marginMs)?.version;
};

/** Returns the monotonic time in milliseconds at which a version expires; undefined while no newer version is the target. */
export const expiryOf = (targets: readonly ModelTarget[], {version, boundMs}: {readonly version: number; readonly boundMs: number}): number | undefined => {
	const newer = targets.filter(target => target.version > version);
	return newer.length === 0 ? undefined : Math.min(...newer.map(({learnedAt}) => learnedAt)) + boundMs;
};

/**
Returns the monotonic time in milliseconds at which a request that is still queued at an upstream must be cancelled, so that
it does not start there after the staleness bound; undefined while no newer version is the target.
*/
export const cancelAt = (targets: readonly ModelTarget[], {heldVersion, boundMs}: {readonly heldVersion: number; readonly boundMs: number}): number | undefined => {
	const expiresAt = expiryOf(targets, {version: heldVersion, boundMs});
	return expiresAt === undefined ? undefined : expiresAt - CANCEL_MARGIN_MS;
};
