/**
Divides the engines of a fleet into groups that switch to a new version one after the other within the staleness bound.

Load pattern: all engines hold the pieces of the version at about the same time. If all of them switched at once, none
would accept requests until the running ones have ended. With groups, the engines of the other groups serve the load. When
the pieces arrive late, the groups follow one another in the time that is left.
*/
import {rankByWeight} from '@yuccawood/common';
import {FIRST_WAVE_DELAY_SHARE, LAST_WAVE_DELAY_SHARE, SWITCH_WAVE_COUNT} from './constants.js';

/** Time in which the groups of a fleet begin to switch, in milliseconds since the version was set as the target. */
export type SwitchWindow = {readonly firstMs: number; readonly lastMs: number};

/** @param boundMs staleness bound, in milliseconds */
export const switchWindow = (boundMs: number): SwitchWindow => ({firstMs: boundMs * FIRST_WAVE_DELAY_SHARE, lastMs: boundMs * LAST_WAVE_DELAY_SHARE});

/** Index of the group of an engine, from 0. Agents with the same list of agents get the same groups, so they need not exchange messages for it. */
export const switchWave = ({selfId, ids, version}: {
	readonly selfId: string;

	/** Identifiers of the agents whose engines serve the model. */
	readonly ids: readonly string[];
	readonly version: number;
}): number => {
	const order = rankByWeight(String(version), ids);
	const position = Math.max(0, order.indexOf(selfId));
	return Math.min(SWITCH_WAVE_COUNT - 1, Math.floor(position * SWITCH_WAVE_COUNT / Math.max(1, order.length)));
};

/**
Minimum time from when the version was set as the target until a group switches, in milliseconds.

@param heldMs time after which the engine's agent held all pieces
*/
export const switchDelayMs = (wave: number, {firstMs, lastMs}: SwitchWindow, heldMs: number): number => {
	const beginMs = Math.min(lastMs, Math.max(firstMs, heldMs));
	return beginMs + ((lastMs - beginMs) * wave / (SWITCH_WAVE_COUNT - 1));
};
