/** When a revision came into force on a VM, read from the log of its daemon, so that nothing has to be asked meanwhile. */
import {waitUntil} from '../fleet/child.js';
import type {FleetVm} from '../fleet/types.js';
import {IN_FORCE_LIMIT_MS} from './constants.js';

/** One revision in force on one VM. */
export type InForce = {
	readonly revision: number;

	/** Wall-clock time in milliseconds since the epoch. */
	readonly time: number;
};

type LogLine = {readonly message?: string; readonly revision?: number; readonly timestamp?: string};

const parseLine = (line: string): LogLine => {
	try {
		return JSON.parse(line) as LogLine;
	} catch {
		return {};
	}
};

/** Revisions in the order in which they came into force. */
export const revisionsInForce = ({daemon}: FleetVm): readonly InForce[] => daemon.lines
	.filter(line => line.includes('Configuration in force.'))
	.map(line => parseLine(line))
	.flatMap(({revision, timestamp}) => revision === undefined || timestamp === undefined ? [] : [{revision, time: Date.parse(timestamp)}]);

/** Time at which the VM first had the revision or a higher one in force. */
const timeOf = (vm: FleetVm, revision: number): number | undefined => revisionsInForce(vm).find(entry => entry.revision >= revision)?.time;

/** Waits until all VMs have the revision in force. @returns seconds for each VM, counted from `since`. */
export const secondsInForce = async (vms: readonly FleetVm[], revision: number, since: number): Promise<readonly number[]> => {
	await waitUntil(() => vms.every(vm => timeOf(vm, revision) !== undefined), {
		subject: `revision ${revision} to be in force`, limitMs: IN_FORCE_LIMIT_MS, pauseMs: 20,
	});
	return vms.map(vm => Math.max(0, timeOf(vm, revision)! - since) / 1000);
};

/** Times at which a VM went from a revision to the same or a lower one. */
export const countReverts = (vm: FleetVm): number => {
	const entries = revisionsInForce(vm);
	return entries.filter(({revision}, index) => index > 0 && revision <= entries[index - 1].revision).length;
};
