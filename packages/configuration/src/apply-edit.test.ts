import {expect} from 'chai';
import {
	type Clock, seededRandom, SystemClock, type Result,
} from '@yuccawood/common';
import type {KeyValueService} from '@yuccawood/interfaces';
import {applyEdit} from './apply-edit.js';
import {HEAD_KEY, MAX_HEAD_EDITS} from './constants.js';
import type {ConfigurationError} from './errors.js';
import {initialiseDocument} from './initialise-document.js';
import {TimeLimit} from './key-value-calls.js';
import {listHistory} from './list-history.js';
import {revertSection} from './revert-section.js';
import {
	DOCUMENT, MemoryKeyValue, rolloutEdit, type WriteFault,
} from './support.test.js';
import type {AuditEntry, Head} from './types.js';

const random = seededRandom('apply-edit');

const headOf = (keyValue: MemoryKeyValue): Head => JSON.parse(keyValue.entries.get(HEAD_KEY)!.value) as Head;

const withDocument = async (): Promise<MemoryKeyValue> => {
	const keyValue = new MemoryKeyValue();
	const first = await initialiseDocument({
		keyValue, text: DOCUMENT, author: 'ops', team: 'platform', editId: 'init', random,
	});
	expect(first.ok).to.equal(true);
	return keyValue;
};

const failureOf = (result: Result<AuditEntry, ConfigurationError>): ConfigurationError => {
	expect(result.err).to.equal(true);
	return result.val as ConfigurationError;
};

const historyOf = async (keyValue: MemoryKeyValue): Promise<readonly AuditEntry[]> => {
	const history = await listHistory({keyValue, limit: new TimeLimit({clock: new SystemClock(), random, milliseconds: 1000}), count: 10_000});
	return history.unwrap().edits;
};

describe('applyEdit', () => {
	it('writes the section, the revision and the audit entry in one value', async () => {
		const keyValue = await withDocument();
		const result = await applyEdit({keyValue, edit: rolloutEdit(), random});
		expect(result.unwrap().revision).to.equal(2);
		const head = headOf(keyValue);
		expect(head.sections.rollout).to.deep.equal({text: 'balance = 0.7', revision: 2});
		expect(head.edits.map(({revision, author}) => ({revision, author}))).to.deep.equal([{revision: 1, author: 'ops'}, {revision: 2, author: 'ann'}]);
	});

	describe('refuses', () => {
		it('an edit by a team that does not own the section', async () => {
			const error = failureOf(await applyEdit({keyValue: await withDocument(), edit: rolloutEdit({team: 'accounts'}), random}));
			expect(error.kind).to.equal('not-owner');
			expect(error.remedy).to.contain('models');
		});

		it('an edit based on an old revision, and shows both texts', async () => {
			const keyValue = await withDocument();
			await applyEdit({keyValue, edit: rolloutEdit(), random});
			const error = failureOf(await applyEdit({keyValue, edit: rolloutEdit({editId: 'edit-2', text: 'balance = 0.1', author: 'bob'}), random}));
			expect(error.kind).to.equal('conflict');
			expect(error.conflict).to.deep.include({
				mine: 'balance = 0.1', theirs: 'balance = 0.7', theirRevision: 2, theirAuthor: 'ann',
			});
		});

		it('faults, with line numbers in the author\'s text', async () => {
			const error = failureOf(await applyEdit({keyValue: await withDocument(), edit: rolloutEdit({text: '; note\n[rollout]\n\nbalance = 7'}), random}));
			expect(error.faults.map(({key, line}) => ({key, line}))).to.deep.equal([{key: 'balance', line: 4}]);
		});

		it('the removal of a model that a route still names', async () => {
			const {text: _text, ...edit} = rolloutEdit({section: 'model.kit-assistant', baseRevision: 1});
			const error = failureOf(await applyEdit({keyValue: await withDocument(), edit, random}));
			expect(error.faults.map(({section}) => section)).to.deep.equal(['route.chat']);
		});

		it('a document above the limit of the key-value service', async () => {
			const keyValue = await withDocument();
			const error = failureOf(await applyEdit({keyValue, edit: rolloutEdit({text: `; ${'x'.repeat(600_000)}`}), random}));
			expect(error.kind).to.equal('too-large');
			expect(headOf(keyValue).revision).to.equal(1);
		});
	});

	describe('when responses to writes are lost', () => {
		const faults: readonly WriteFault[] = ['lost-after', 'lost-before', 'lost-late', 'unavailable', 'rate-limited'];
		for (const fault of faults) {
			it(`makes the edit exactly once when a write is ${fault}`, async () => {
				const keyValue = await withDocument();
				keyValue.writeFaults = [fault, fault];
				const result = await applyEdit({keyValue, edit: rolloutEdit(), random});
				expect(result.unwrap().revision).to.equal(2);
				await new SystemClock().sleep(50);
				expect(headOf(keyValue).edits.filter(({editId}) => editId === 'edit-1')).to.have.length(1);
			});
		}

		it('finds its edit in an archive after many other edits', async () => {
			const keyValue = await withDocument();
			keyValue.writeFaults = ['lost-after'];
			let isFirst = true;
			const slow: KeyValueService = {
				...keyValue,

				// Between the lost response and the next read of the head, others make more edits than the head holds.
				async write(...parameters: Parameters<MemoryKeyValue['write']>) {
					const outcome = await keyValue.write(...parameters);
					if (isFirst && outcome.err) {
						isFirst = false;
						await makeEdits(keyValue, MAX_HEAD_EDITS + 10);
					}

					return outcome;
				},
			};
			const result = await applyEdit({keyValue: slow, edit: rolloutEdit(), random});
			expect(result.unwrap().revision).to.equal(2);
			expect(headOf(keyValue).floor).to.be.above(2);
		});

		it('reports an unknown outcome, not a timeout, when the service stays unavailable', async () => {
			const keyValue = await withDocument();
			keyValue.writeFaults = ['lost-before'];
			keyValue.beforeWrite = async () => {
				setImmediate(() => {
					keyValue.isDown = true;
				});
			};

			const error = failureOf(await applyEdit({
				keyValue, edit: rolloutEdit(), random, timeLimitMs: 200,
			}));
			expect(error.kind).to.equal('unknown-outcome');
			expect(error.message).to.contain('edit-1');
		});

		it('reports a timeout when no write can have taken effect', async () => {
			const keyValue = await withDocument();
			keyValue.writeFaults = Array.from({length: 1000}, () => 'unavailable');
			const error = failureOf(await applyEdit({
				keyValue, edit: rolloutEdit(), random, timeLimitMs: 200,
			}));
			expect(error.kind).to.equal('timeout');
			expect(headOf(keyValue).revision).to.equal(1);
		});
	});

	it('keeps to its time limit when the wall clock jumps', async () => {
		const keyValue = await withDocument();
		keyValue.writeFaults = ['unavailable', 'unavailable'];
		let hours = 0;
		const system = new SystemClock();
		const now = (): number => {
			hours += 3;
			return Date.now() + (hours * 3_600_000);
		};

		const clock: Clock = {now, monotonic: system.monotonic, sleep: system.sleep};
		const result = await applyEdit({
			keyValue, edit: rolloutEdit(), random, clock,
		});
		expect(result.ok).to.equal(true);
	});
});

const makeEdits = async (keyValue: MemoryKeyValue, count: number): Promise<void> => {
	for (let i = 0; i < count; i++) {
		const baseRevision = headOf(keyValue).sections['vm.a']?.revision ?? 0;
		const edit = rolloutEdit({
			editId: `vm-${i}`, team: 'platform', section: 'vm.a', baseRevision, text: `role = ${i % 2 === 0 ? 'serve' : 'drain'}`,
		});
		const result = await applyEdit({keyValue, edit, random});
		expect(result.ok).to.equal(true);
	}
};

describe('audit entries', () => {
	it('has one entry for each revision when archive writes fail', async () => {
		const keyValue = await withDocument();
		let writes = 0;
		keyValue.beforeWrite = async key => {
			writes++;
			keyValue.writeFaults = key !== HEAD_KEY && writes % 3 === 0 ? ['lost-after'] : (writes % 7 === 0 ? ['lost-before'] : []);
		};

		await makeEdits(keyValue, 200);
		const edits = await historyOf(keyValue);
		const revisions = edits.map(({revision}) => revision);
		expect(revisions).to.deep.equal(Array.from({length: 201}, (_, i) => 201 - i));
		expect(headOf(keyValue).edits.length).to.be.at.most(MAX_HEAD_EDITS);
	}).timeout(30_000);
});

describe('revertSection', () => {
	it('restores the text of an archived revision as a new revision', async () => {
		const keyValue = await withDocument();
		await makeEdits(keyValue, MAX_HEAD_EDITS + 5);
		const identity = {author: 'ann', team: 'platform', section: 'vm.a'};
		const result = await revertSection({
			keyValue, random, revision: 3, editId: 'revert-1', ...identity,
		});
		expect(result.unwrap()).to.deep.include({revision: MAX_HEAD_EDITS + 7, text: 'role = drain'});
	});

	it('removes a section that did not exist in that revision', async () => {
		const keyValue = await withDocument();
		await makeEdits(keyValue, 1);
		await revertSection({
			keyValue, random, revision: 1, editId: 'revert-1', author: 'ann', team: 'platform', section: 'vm.a',
		});
		expect(headOf(keyValue).sections).not.to.have.property('vm.a');
		expect(headOf(keyValue).revision).to.equal(3);
	});
});
