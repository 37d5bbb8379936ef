import {TypedError} from '@yuccawood/common';
import {waitUntil} from '../fleet/child.js';
import type {Fleet, FleetVm} from '../fleet/fleet.js';
import {REGIONS, START_LIMIT_MS} from './constants.js';

const MAX_ATTEMPTS = 5;

const says = ({daemon}: FleetVm, text: string): boolean => daemon.lines.some(line => line.includes(text));

/**
Starts an entry and waits until it serves.

A port that was free when it was chosen may have become the local port of a connection of another VM, so a VM that finds
its port in use is started again with other ports.
*/
export const addVm = async (fleet: Fleet, index: number): Promise<void> => {
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		const vm = await fleet.addEntry(`entry-${index}`, {region: REGIONS[index % REGIONS.length]});
		await waitUntil(() => !vm.daemon.isRunning || says(vm, 'Entry serves callers.'), {subject: `${vm.id} to serve`, limitMs: START_LIMIT_MS});
		if (vm.daemon.isRunning) {
			return;
		}

		if (!says(vm, 'EADDRINUSE')) {
			break;
		}
	}

	throw new TypedError({kind: 'vm-ended', detail: `The VM ${index} did not start.`, remedy: 'Look at its log.'});
};
