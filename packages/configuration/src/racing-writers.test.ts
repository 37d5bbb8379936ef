import {expect} from 'chai';
import fc from 'fast-check';
import {seededRandom, SystemClock, type Random} from '@yuccawood/common';
import {HttpKeyValueService, type KeyValueService} from '@yuccawood/interfaces';
import {KeyValueStandIn} from '@yuccawood/stand-ins';
import {applyEdit} from './apply-edit.js';
import {HEAD_KEY} from './constants.js';
import {initialiseDocument} from './initialise-document.js';
import {TimeLimit} from './key-value-calls.js';
import {listHistory} from './list-history.js';
import {readHead} from './read-head.js';
import {
	DOCUMENT, MemoryKeyValue, rolloutEdit, type WriteFault,
} from './support.test.js';
import type {AuditEntry, Edit, Head} from './types.js';

const random = seededRandom('racing-writers');
const clock = new SystemClock();

const limit = (): TimeLimit => new TimeLimit({clock, random, milliseconds: 5000});

const initialise = async (keyValue: KeyValueService): Promise<void> => {
	const result = await initialiseDocument({
		keyValue, text: DOCUMENT, author: 'ops', team: 'platform', editId: 'init', random,
	});
	expect(result.ok).to.equal(true);
};

type Outcome = {readonly edit: Edit; readonly kind: string};

/** Reads the current revision of a section and edits the section on that base, as an operator does. */
const readAndEdit = async (keyValue: KeyValueService, edit: Edit, writerRandom: Random): Promise<Outcome> => {
	const read = await readHead({keyValue, limit: limit()});
	const {sections} = read.unwrap().head;
	const rebased = {...edit, baseRevision: sections[edit.section]?.revision ?? 0};
	const result = await applyEdit({keyValue, edit: rebased, random: writerRandom});
	return {edit: rebased, kind: result.ok ? 'accepted' : result.val.kind};
};

const vmEdit = (writer: number, section: string, team = 'platform'): Edit => rolloutEdit({
	editId: `writer-${writer}`, author: `author-${writer}`, team, section, text: `role = ${writer % 2 === 0 ? 'serve' : 'drain'}\n; ${writer}`,
});

/** Checks that the audit entries agree with the outcomes that were reported to the writers. */
const checkAuditEntries = (head: Head, edits: readonly AuditEntry[], outcomes: readonly Outcome[]): void => {
	expect(edits.map(({revision}) => revision)).to.deep.equal(Array.from({length: head.revision}, (_, i) => head.revision - i));
	const accepted = outcomes.filter(({kind}) => kind === 'accepted').map(({edit}) => edit.editId);
	expect(edits.map(({editId}) => editId).filter(id => id !== 'init')).to.have.members(accepted);

	// Each edit replaced exactly the revision that its author had read.
	const revisions = new Map<string, number>();
	for (const entry of edits.toReversed()) {
		if (entry.section !== '*') {
			expect(entry.baseRevision).to.equal(revisions.get(entry.section) ?? 0);
			revisions.set(entry.section, entry.revision);
			expect(entry.team).to.equal('platform');
		}
	}

	for (const [section, revision] of revisions) {
		expect(head.sections[section]).to.deep.equal({text: edits.find(entry => entry.revision === revision)!.text, revision});
	}
};

const checkStoredHistory = async (keyValue: KeyValueService, outcomes: readonly Outcome[]): Promise<void> => {
	const history = await listHistory({keyValue, limit: limit(), count: 10_000});
	const {stored, edits} = history.unwrap();
	checkAuditEntries(stored.head, edits, outcomes);
};

describe('racing writers', () => {
	describe('over HTTP', () => {
		let standIn: KeyValueStandIn;
		let keyValue: HttpKeyValueService;

		beforeEach(async () => {
			standIn = new KeyValueStandIn();
			keyValue = new HttpKeyValueService({address: await standIn.listen(), timeoutMs: 500});
			await initialise(keyValue);
		});

		afterEach(async () => {
			await keyValue.close();
			await standIn.close();
		});

		it('all succeed on different sections, although each successful write makes the concurrent ones fail', async () => {
			const outcomes = await Promise.all(Array.from({length: 24}, async (_, i) => readAndEdit(keyValue, vmEdit(i, `vm.agent-${i}`), seededRandom(i))));
			expect(outcomes.filter(({kind}) => kind !== 'accepted')).to.deep.equal([]);
			await checkStoredHistory(keyValue, outcomes);
		});

		it('on one section get one accepted edit for each base revision, and conflicts otherwise', async () => {
			const outcomes = await Promise.all(Array.from({length: 12}, async (_, i) => readAndEdit(keyValue, vmEdit(i, 'vm.agent'), seededRandom(i))));
			expect(new Set(outcomes.map(({kind}) => kind))).to.deep.equal(new Set(['accepted', 'conflict']));
			await checkStoredHistory(keyValue, outcomes);
		});

		it('succeed after a silent outage and slow responses, each edit exactly once', async () => {
			standIn.setFaults({outage: 'silent'});
			const writers = Array.from({length: 8}, async (_, i) => readAndEdit(keyValue, vmEdit(i, `vm.agent-${i}`), seededRandom(i)));
			await clock.sleep(300);
			standIn.setFaults({outage: 'none', latencyMs: 60, loseAnswers: 3});
			const outcomes = await Promise.all(writers);
			expect(outcomes.filter(({kind}) => kind !== 'accepted')).to.deep.equal([]);
			await checkStoredHistory(keyValue, outcomes);
		}).timeout(20_000);
	});

	it('keep ownership, conflicts and the audit entries correct under any write faults', async () => {
		const fault = fc.constantFrom<WriteFault | undefined>(undefined, undefined, 'lost-after', 'lost-before', 'lost-late', 'unavailable', 'rate-limited');
		const writer = fc.record({section: fc.constantFrom('vm.a', 'vm.b', 'vm.c'), team: fc.constantFrom('platform', 'platform', 'accounts')});
		await fc.assert(fc.asyncProperty(fc.array(writer, {minLength: 2, maxLength: 8}), fc.array(fault, {maxLength: 16}), async (writers, faults) => {
			const keyValue = new MemoryKeyValue();
			await initialise(keyValue);
			keyValue.writeFaults = [...faults];
			const outcomes = await Promise.all(writers.map(async ({section, team}, i) => readAndEdit(keyValue, vmEdit(i, section, team), seededRandom(i))));

			// A delayed write must not take effect after another outcome was reported to its author.
			await clock.sleep(35);
			for (const {edit, kind} of outcomes) {
				expect(kind).to.be.oneOf(edit.team === 'platform' ? ['accepted', 'conflict'] : ['not-owner']);
			}

			await checkStoredHistory(keyValue, outcomes);
		}), {seed: 20_241, numRuns: 25});
	}).timeout(60_000);

	it('make an edit exactly once when any of its writes, to the archive or the head, fails or loses its response', async () => {
		const faults: readonly WriteFault[] = ['lost-after', 'lost-before', 'lost-late', 'unavailable'];
		for (const fault of faults) {
			for (const position of [0, 1, 2]) {
				const keyValue = new MemoryKeyValue();
				await initialise(keyValue);
				for (let i = 0; i < 63; i++) {
					await readAndEdit(keyValue, vmEdit(i, 'vm.a'), random);
				}

				const before = keyValue.entries.size;
				keyValue.writeFaults = [...Array.from({length: position}, () => undefined), fault];
				const outcome = await readAndEdit(keyValue, vmEdit(63, 'vm.a'), random);
				await clock.sleep(35);
				expect(outcome.kind).to.equal('accepted');
				expect(keyValue.entries.size).to.equal(before + 1);
				const history = await listHistory({keyValue, limit: limit(), count: 100});
				const ids = history.unwrap().edits.map(({editId}) => editId);
				expect(ids).to.have.length(65);
				expect(new Set(ids).size).to.equal(65);
			}
		}
	}).timeout(30_000);

	it('leave no gap in the audit entries when one archives more entries than another', async () => {
		const keyValue = new MemoryKeyValue();
		await initialise(keyValue);
		const large = `role = serve\n; ${'x'.repeat(120_000)}`;
		for (let i = 0; i < 20; i++) {
			const edit = i % 3 === 0 ? {...vmEdit(i, 'vm.a'), text: large} : vmEdit(i, `vm.b${i}`);
			const outcomes = await Promise.all([readAndEdit(keyValue, edit, random), readAndEdit(keyValue, vmEdit(100 + i, `vm.c${i}`), random)]);
			expect(outcomes.map(({kind}) => kind)).to.deep.equal(['accepted', 'accepted']);
		}

		const history = await listHistory({keyValue, limit: limit(), count: 1000});
		expect(history.unwrap().edits).to.have.length(41);
		expect(keyValue.entries.get(HEAD_KEY)!.value.length).to.be.below(1_000_000);
	}).timeout(20_000);
});
