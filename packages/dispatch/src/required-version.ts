/**
Oldest version of a model that may answer a request now.

Load pattern: a rollout while requests are served. Until shortly before the bound both versions answer, so that the
upstreams which have not switched keep carrying their share; after that only the target version does.
*/
import type {ModelTarget} from '@yuccawood/fleet';
import {CANCEL_MARGIN_MS, UNCANCELLABLE_VERSION_MARGIN_MS, VERSION_MARGIN_MS} from './constants.js';

export const requiredVersion = (targets: readonly ModelTarget[], {now, boundMs, canRecall}: {
	readonly now: number;
	readonly boundMs: number;

	/** Whether the request can be taken back while it waits at an upstream. */
	readonly canRecall: boolean;
}): number | undefined => {
	const marginMs = canRecall ? VERSION_MARGIN_MS : UNCANCELLABLE_VERSION_MARGIN_MS;
	return targets.findLast(({learnedAt}) => now - learnedAt >= boundMs - marginMs)?.version;
};

/** When a request that still waits at an upstream must be taken back, so that it does not begin there after the bound; nothing while no newer version is named. */
export const recallAt = (targets: readonly ModelTarget[], {heldVersion, boundMs}: {readonly heldVersion: number; readonly boundMs: number}): number | undefined => {
	const newer = targets.filter(({version}) => version > heldVersion);
	return newer.length === 0 ? undefined : Math.min(...newer.map(({learnedAt}) => learnedAt)) + boundMs - CANCEL_MARGIN_MS;
};
