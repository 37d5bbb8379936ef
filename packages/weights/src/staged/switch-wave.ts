/**
Spreads the switch of a fleet to a new version over the time that the bound allows.

Load pattern: every engine has the pieces at about the same time. If all switched at once, none would take requests
while the running ones end; in groups, the others carry the load.
*/
import {rank} from '@yuccawood/common';
import {FIRST_WAVE_DELAY_SHARE, LAST_WAVE_DELAY_SHARE, SWITCH_WAVE_COUNT} from './constants.js';

export type SwitchWave = {
	readonly wave: number;

	/** Time from when the version was named, in milliseconds. */
	readonly delayMs: number;
};

/** Group of an engine and the earliest time of its switch. All agents that see the same list agree without a message. */
export const switchWave = ({selfId, ids, version, boundMs}: {
	readonly selfId: string;

	/** Agents of the engines that serve the model. */
	readonly ids: readonly string[];
	readonly version: number;
	readonly boundMs: number;
}): SwitchWave => {
	const order = rank(String(version), ids);
	const position = Math.max(0, order.indexOf(selfId));
	const wave = Math.min(SWITCH_WAVE_COUNT - 1, Math.floor(position * SWITCH_WAVE_COUNT / Math.max(1, order.length)));
	const step = (LAST_WAVE_DELAY_SHARE - FIRST_WAVE_DELAY_SHARE) / (SWITCH_WAVE_COUNT - 1);
	return {wave, delayMs: boundMs * (FIRST_WAVE_DELAY_SHARE + (wave * step))};
};
