import {TypedError} from '@yuccawood/common';
import {waitUntil} from '../fleet/child.js';
import type {Fleet} from '../fleet/fleet.js';
import {REGIONS, START_LIMIT_MS} from './constants.js';

/** Starts an entry and waits until it serves. */
export const addVm = async (fleet: Fleet, index: number): Promise<void> => {
	const vm = await fleet.addEntry(`entry-${index}`, {region: REGIONS[index % REGIONS.length]});
	await waitUntil(() => !vm.daemon.isRunning || vm.daemon.lines.some(line => line.includes('Entry serves callers.')), {
		subject: `${vm.id} to serve`, limitMs: START_LIMIT_MS,
	});
	if (!vm.daemon.isRunning) {
		throw new TypedError({kind: 'vm-ended', detail: `The VM ${index} did not start.`, remedy: 'Look at its log.'});
	}
};
