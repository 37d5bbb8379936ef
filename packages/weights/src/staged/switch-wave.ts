/**
Divides the engines of a fleet into groups that switch to a new version one after the other within the staleness bound.

Load pattern: all engines hold the pieces of the version at about the same time. If all of them switched at once, none
would accept requests until the running ones have ended. With groups, the engines of the other groups serve the load.
*/
import {rankByWeight} from '@yuccawood/common';
import {FIRST_WAVE_DELAY_SHARE, LAST_WAVE_DELAY_SHARE, SWITCH_WAVE_COUNT} from './constants.js';

export type SwitchWave = {
	/** Index of the group, from 0. */
	readonly wave: number;

	/** Minimum time from when the version was set as the target until the switch, in milliseconds. */
	readonly delayMs: number;
};

/**
Computes the group of an engine and its earliest switch. Agents with the same list of agents get the same groups, so they
need not exchange messages for it.
*/
export const switchWave = ({selfId, ids, version, boundMs}: {
	readonly selfId: string;

	/** Identifiers of the agents whose engines serve the model. */
	readonly ids: readonly string[];
	readonly version: number;

	/** Staleness bound, in milliseconds. */
	readonly boundMs: number;
}): SwitchWave => {
	const order = rankByWeight(String(version), ids);
	const position = Math.max(0, order.indexOf(selfId));
	const wave = Math.min(SWITCH_WAVE_COUNT - 1, Math.floor(position * SWITCH_WAVE_COUNT / Math.max(1, order.length)));
	const step = (LAST_WAVE_DELAY_SHARE - FIRST_WAVE_DELAY_SHARE) / (SWITCH_WAVE_COUNT - 1);
	return {wave, delayMs: boundMs * (FIRST_WAVE_DELAY_SHARE + (wave * step))};
};
