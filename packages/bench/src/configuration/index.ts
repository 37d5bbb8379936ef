/** Benchmark `configuration`: time until an edit is in force on every VM, and what the distribution costs. */
import {delay, seededRandom, TypedError} from '@yuccawood/common';
import {documentText} from '../fleet/document.js';
import {Fleet} from '../fleet/fleet.js';
import type {Benchmark} from '../types.js';
import {SETTLE_MS, SINGLE_EDITS, START_LIMIT_MS} from './constants.js';
import {measureAddedBytes, measureControlLoad, type ControlLoad} from './control-load.js';
import {Editor} from './editor.js';
import {runFrozenEdit, runRacingEdits, runSingleEdits} from './edit-rounds.js';
import {addVm} from './add-vm.js';
import {countReverts} from './revisions-in-force.js';

type Progress = (line: string) => void;

const quantile = (values: readonly number[], share: number): number => {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
};

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

/** Adds VMs up to the number. They are entries: an agent would add its upstream's lease to the calls of the key-value service. */
const growTo = async (fleet: Fleet, count: number): Promise<void> => {
	for (let i = fleet.vms.size; i < count; i++) {
		await addVm(fleet, i);
	}

	await fleet.waitForAll(`${count} VMs to know each other`, ({revision, members}) => revision > 0 && members.length === count, START_LIMIT_MS);
	await delay(SETTLE_MS);
	const ended = [...fleet.vms.values()].find(({daemon}) => !daemon.isRunning);
	if (ended) {
		throw new TypedError({kind: 'vm-ended', detail: `${ended.id} has ended: ${ended.daemon.lines.slice(-1).join(' ')}`, remedy: 'Correct the cause and run again.'});
	}
};

const costFields = (half: ControlLoad, full: ControlLoad, count: number) => ({
	kvCallsPerSecond: round(full.keyValueCallsPerSecond, 2),
	kvCallsPerSecondAtHalf: round(half.keyValueCallsPerSecond, 2),
	controlBytesPerSecondPerNode: Math.round(full.bytesPerSecondPerNode),
	controlBytesPerSecondPerMember: round((full.bytesPerSecondPerNode - half.bytesPerSecondPerNode) / (count / 2), 1),
	controlCpuPercent: round(full.cpuPercentPerNode, 2),
	rssMb: Math.round(full.rssMbMax),
});

const measure = async (fleet: Fleet, editor: Editor, count: number, progress: Progress): Promise<Readonly<Record<string, unknown>>> => {
	const random = seededRandom('configuration');
	const model = {name: 'kit-assistant', version: 'v1', manifest: 'a'.repeat(64)};
	await editor.initialise(documentText({model}));
	progress(`Starting ${count / 2} VMs.`);
	await growTo(fleet, count / 2);
	const half = await measureControlLoad(fleet);
	progress(`Starting ${count / 2} more.`);
	await growTo(fleet, count);
	const full = await measureControlLoad(fleet);
	const options = {fleet, editor, random};
	progress('Editing.');
	const {value: seconds, addedBytes} = await measureAddedBytes(fleet, full, async () => runSingleEdits(options));
	await runRacingEdits(options);
	progress('Freezing one VM in ten.');
	const {others, frozen} = await runFrozenEdit(options);
	const trail = await editor.compareWithTrail();
	return {
		vms: count,
		inForceP50Seconds: round(quantile(seconds, 0.5), 3),
		inForceP99Seconds: round(quantile(seconds, 0.99), 3),
		inForceMaxSeconds: round(Math.max(...seconds), 3),
		inForceWhileFrozenMaxSeconds: round(Math.max(...others), 3),
		inForceAfterReturnMaxSeconds: round(Math.max(...frozen), 3),
		...costFields(half, full, count),
		controlBytesPerEditPerNode: Math.round(addedBytes / SINGLE_EDITS),
		acceptedEdits: editor.accepted,
		conflicts: editor.conflicts,
		reverts: [...fleet.vms.values()].reduce((sum, vm) => sum + countReverts(vm), 0),
		...trail,
	};
};

const run: Benchmark['run'] = async ({vms}, progress) => {
	const count = Number(vms);
	if (!Number.isInteger(count) || count < 4 || count % 2 !== 0) {
		throw new TypedError({kind: 'usage', detail: `--vms has the value "${String(vms)}".`, remedy: 'Give an even number from 4.'});
	}

	const fleet = new Fleet({weights: []});
	await fleet.start();
	const editor = new Editor({address: fleet.platform.keyValue});
	try {
		return await measure(fleet, editor, count, progress);
	} finally {
		await editor.close();
		await fleet.close();
	}
};

export const configurationBenchmark: Benchmark = {
	name: 'configuration',
	description: 'time until an edit is in force on every VM, and what its distribution costs',
	options: [{flags: '--vms <n>', description: 'processes', default: '16'}],
	run,
};
