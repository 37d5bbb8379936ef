import {expect} from 'chai';
import type {KeyValueService} from '@yuccawood/interfaces';
import {applyEdit} from './apply-edit.js';
import {HEAD_KEY} from './constants.js';
import {
	allHave, clock, Fleet, random, until,
} from './fleet.test.js';
import {MemoryKeyValue, rolloutEdit} from './support.test.js';
import type {Head} from './types.js';

describe('ConfigurationDistributor', () => {
	let fleet: Fleet;

	beforeEach(() => {
		fleet = new Fleet();
	});

	afterEach(async () => {
		await fleet.stop();
	});

	it('brings two consecutive edits into force on all processes, in ascending order, with only two watchers', async () => {
		const processes = await fleet.startAll(10);
		const revision = await fleet.edit(2);
		await until(allHave(processes, revision));
		for (const {revisions} of processes) {
			expect(revisions).to.deep.equal([...revisions].sort((a, b) => a - b));
			expect(new Set(revisions).size).to.equal(revisions.length);
		}

		expect(processes[0].distributor.current?.configuration.rollout.balance).to.equal(0.2);
	});

	it('makes a number of key-value calls that does not depend on the number of processes', async () => {
		const processes = await fleet.startAll(12);
		const callsBefore = fleet.keyValue.calls;
		await fleet.edit(1);
		await until(allHave(processes, 2));

		// One read and one write of the edit, and a new watch of each of the two watchers.
		expect(fleet.keyValue.calls - callsBefore).to.be.at.most(6);
	});

	it('never brings an older revision or a document with faults into force', async () => {
		const [process] = await fleet.startAll(1);
		await fleet.edit(1);
		await until(allHave([process], 2));
		const entry = fleet.keyValue.entries.get(HEAD_KEY)!;
		const head = JSON.parse(entry.value) as Head;
		const faulty = {...head, revision: 3, sections: {...head.sections, rollout: {text: 'balance = 7', revision: 3}}};
		const values = [{...head, revision: 1}, faulty, {...head, revision: 4}];
		for (const value of values) {
			await fleet.keyValue.write(HEAD_KEY, JSON.stringify(value));
			await clock.sleep(50);
		}

		await until(allHave([process], 4));
		expect(process.revisions).to.deep.equal([1, 2, 4]);
	});

	describe('when started without the key-value service', () => {
		it('gets the revision in force from peers', async () => {
			await fleet.startAll(3);
			await fleet.edit(1);
			await until(allHave([...fleet.processes.values()], 2));
			fleet.keyValue.isDown = true;
			fleet.keyValue.endWatches();
			const late = await fleet.start('late');
			await late.distributor.ready;
			expect(late.revisions).to.deep.equal([2]);
		});

		it('does not take the old revision of a stale peer when a newer one is known to exist', async () => {
			const stale = new Fleet();
			await stale.startAll(1);
			try {
				const staleRecord = stale.records.get('agent-0')!;
				fleet.keyValue.isDown = true;

				// The only live peer has revision 1, and its member table has a dead member with revision 2.
				stale.records.set('gone', {
					...staleRecord, id: 'gone', address: '127.0.0.1:1', status: 'dead', revision: 2,
				});
				const records = new Map([['agent-0', staleRecord]]);
				const fresh = await fleet.start('fresh', {records});
				await clock.sleep(1000);
				expect(fresh.distributor.current).to.equal(undefined);

				await stale.edit(1);
				await fresh.distributor.ready;
				expect(fresh.revisions).to.deep.equal([2]);
			} finally {
				await stale.stop();
			}
		});
	});

	it('keeps the revision in force during an outage and catches up after it', async () => {
		const processes = await fleet.startAll(4);
		fleet.keyValue.isDown = true;
		fleet.keyValue.endWatches();
		await clock.sleep(300);
		expect(allHave(processes, 1)()).to.equal(true);
		fleet.keyValue.isDown = false;
		await fleet.edit(1);
		await until(allHave(processes, 2));
	});

	it('reaches a process without announcements and watches, through its member table', async () => {
		const processes = await fleet.startAll(3);
		const unavailable = new MemoryKeyValue();
		unavailable.isDown = true;
		const isolated = await fleet.start('isolated', {keyValue: unavailable});
		await isolated.distributor.ready;

		// Announcements go to an address on which no process listens.
		fleet.records.set('isolated', {...fleet.records.get('isolated')!, address: '127.0.0.1:1'});
		await fleet.edit(1);
		await until(allHave([...processes, isolated], 2));
	});

	it('reaches all processes through the member table when no process announces revisions', async () => {
		const processes = await fleet.startAll(8, {announces: false});
		await fleet.edit(1);
		await until(allHave(processes, 2));
	});

	it('replaces a watch whose connection has gone silent', async () => {
		let watches = 0;
		let release: (() => void) | undefined;
		const silent: KeyValueService = {
			...fleet.keyValue,
			async watch(...parameters) {
				watches++;
				if (watches === 2) {
					await new Promise<void>(resolve => {
						release = resolve;
					});
				}

				return fleet.keyValue.watch(...parameters);
			},
		};

		const processes = await fleet.startAll(1, {keyValue: silent, watchTimeoutMs: 100});
		await until(() => watches === 2);
		await fleet.edit(1);
		await until(allHave(processes, 2));
		expect(watches).to.be.above(2);
		release?.();
	});

	it('removes a section on processes that fetch only changed sections', async () => {
		const processes = await fleet.startAll(6);
		const {text: _text, ...removal} = rolloutEdit({section: 'account.matara', team: 'accounts', baseRevision: 1});
		const result = await applyEdit({keyValue: fleet.keyValue, edit: removal, random});
		expect(result.ok).to.equal(true);
		await until(allHave(processes, 2));
		for (const {distributor} of processes) {
			expect(distributor.current?.configuration.accounts).to.deep.equal([]);
		}
	});

	it('brings the first document into force on processes that have been waiting for it', async () => {
		const processes = [await fleet.start('a'), await fleet.start('b'), await fleet.start('c')];
		await fleet.initialise();
		await Promise.all(processes.map(async ({distributor}) => distributor.ready));
		expect(processes.map(({revisions}) => revisions)).to.deep.equal([[1], [1], [1]]);
	});
});
