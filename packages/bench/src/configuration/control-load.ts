/** Load of the control traffic on each VM and on the key-value service while nothing is edited. */
import {Buffer} from 'node:buffer';
import {delay} from '@yuccawood/common';
import type {StatusReport} from '@yuccawood/daemon';
import type {Fleet} from '../fleet/fleet.js';
import {readCounters} from '../fleet/stand-in-control.js';
import {QUIET_MS} from './constants.js';

export type ControlLoad = {
	/** JSON-RPC bodies sent and received, as client and as server. */
	readonly bytesPerSecondPerNode: number;
	readonly cpuPercentPerNode: number;
	readonly rssMbMax: number;
	readonly keyValueCallsPerSecond: number;
};

type Sample = {
	readonly time: number;
	readonly reports: readonly StatusReport[];
	readonly calls: number;
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const sample = async (fleet: Fleet): Promise<Sample> => {
	const reports = await Promise.all([...fleet.vms.keys()].map(async id => fleet.status(id)));
	const counters = await readCounters(fleet.platform.keyValue);
	return {time: performance.now(), reports, calls: Object.values(counters).reduce((sum, count) => sum + count, 0)};
};

const bodiesBetween = (before: Sample, after: Sample): readonly number[] => after.reports.map((report, index) =>
	report.controlBytes - before.reports[index].controlBytes - Buffer.byteLength(JSON.stringify(before.reports[index])));

/** Runs the work. @returns its result, and the mean number of bytes that it added for each VM to those of quiet time. */
export const measureAddedBytes = async <Value>(fleet: Fleet, quiet: ControlLoad, work: () => Promise<Value>): Promise<{readonly value: Value; readonly addedBytes: number}> => {
	const before = await sample(fleet);
	const value = await work();
	const after = await sample(fleet);
	const seconds = (after.time - before.time) / 1000;
	return {value, addedBytes: mean(bodiesBetween(before, after)) - (quiet.bytesPerSecondPerNode * seconds)};
};

/** Measures for a while. The answer to the first `status.report` counts as sent after it was made, so it is taken off. */
export const measureControlLoad = async (fleet: Fleet): Promise<ControlLoad> => {
	const before = await sample(fleet);
	await delay(QUIET_MS);
	const after = await sample(fleet);
	const seconds = (after.time - before.time) / 1000;
	const bytes = bodiesBetween(before, after);
	const cpu = after.reports.map((report, index) => report.cpuSeconds - before.reports[index].cpuSeconds);
	return {
		bytesPerSecondPerNode: mean(bytes) / seconds,
		cpuPercentPerNode: 100 * mean(cpu) / seconds,
		rssMbMax: Math.max(...after.reports.map(({residentBytes}) => residentBytes)) / 1e6,
		keyValueCallsPerSecond: (after.calls - before.calls) / seconds,
	};
};
