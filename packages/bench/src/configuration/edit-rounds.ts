/** Edits of a run, and how long each takes until it is in force. */
import {delay, type Random} from '@yuccawood/common';
import {setFaults} from '../fleet/stand-in-control.js';
import type {Fleet} from '../fleet/fleet.js';
import type {FleetVm} from '../fleet/types.js';
import {
	EDITS_PER_WRITER, EDIT_IN_FREEZE_MS, EDIT_PAUSE_MS, FREEZE_MS, FROZEN_ONE_IN, RACING_WRITERS, SINGLE_EDITS,
} from './constants.js';
import type {Editor} from './editor.js';
import {secondsInForce} from './revisions-in-force.js';

type RoundOptions = {
	readonly fleet: Fleet;
	readonly editor: Editor;
	readonly random: Random;
};

const vmsOf = (fleet: Fleet): readonly FleetVm[] => [...fleet.vms.values()];

const balanceText = (random: Random): string => `balance = ${random.next().toFixed(6)}`;

const rollout = (random: Random) => ({section: 'rollout', team: 'models', text: balanceText(random)});

/** Edits one after the other. @returns seconds from the start of the edit for each edit and VM. */
export const runSingleEdits = async ({fleet, editor, random}: RoundOptions): Promise<readonly number[]> => {
	const all: number[] = [];
	for (let i = 0; i < SINGLE_EDITS; i++) {
		await delay(EDIT_PAUSE_MS * (0.5 + random.next()));
		const since = Date.now();
		const revision = await editor.editAlone(rollout(random));
		all.push(...await secondsInForce(vmsOf(fleet), revision, since));
	}

	return all;
};

/** Several writers edit the same and different sections at once, while answers of writes are lost. */
export const runRacingEdits = async ({fleet, editor, random}: RoundOptions): Promise<void> => {
	await setFaults(fleet.platform.keyValue, {loseAnswers: RACING_WRITERS});
	const revisions = await Promise.all(Array.from({length: RACING_WRITERS}, async (_, writer) => {
		let last = 0;
		for (let i = 0; i < EDITS_PER_WRITER; i++) {
			const own = {section: `vm.spare-${writer}`, team: 'platform', text: `role = ${i % 2 === 0 ? 'serve' : 'drain'}`};
			const revision = await editor.edit(i % 2 === 0 ? rollout(random) : own);
			last = Math.max(last, revision ?? 0);
		}

		return last;
	}));
	await secondsInForce(vmsOf(fleet), Math.max(...revisions), Date.now());
};

export type FreezeOutcome = {
	/** Seconds from the edit, for the VMs that went on. */
	readonly others: readonly number[];

	/** Seconds from the end of the freeze, for the frozen VMs. */
	readonly frozen: readonly number[];
};

/** Edits while one VM in ten is frozen. */
export const runFrozenEdit = async ({fleet, editor, random}: RoundOptions): Promise<FreezeOutcome> => {
	const vms = vmsOf(fleet);
	const frozen = random.sample(vms, Math.max(1, Math.round(vms.length / FROZEN_ONE_IN)));
	const others = vms.filter(vm => !frozen.includes(vm));
	for (const {daemon} of frozen) {
		daemon.signal('SIGSTOP');
	}

	await delay(EDIT_IN_FREEZE_MS);
	const since = Date.now();
	const revision = await editor.editAlone(rollout(random));
	const othersSeconds = await secondsInForce(others, revision, since);
	await delay(Math.max(0, FREEZE_MS - EDIT_IN_FREEZE_MS - (Date.now() - since)));
	const returned = Date.now();
	for (const {daemon} of frozen) {
		daemon.signal('SIGCONT');
	}

	return {others: othersSeconds, frozen: await secondsInForce(frozen, revision, returned)};
};
