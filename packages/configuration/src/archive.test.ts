import {expect} from 'chai';
import {seededRandom, SystemClock} from '@yuccawood/common';
import {archiveOldEdits, collectEdits} from './archive.js';
import {TimeLimit} from './key-value-calls.js';
import {MemoryKeyValue, rolloutEdit} from './support.test.js';
import type {AuditEntry, Head} from './types.js';

const headWith = (count: number): Head => ({
	revision: count,
	sections: {},
	floor: 1,
	edits: Array.from({length: count}, (_, i): AuditEntry => ({
		...rolloutEdit({editId: `edit-${i}`, text: `; ${'x'.repeat(200_000)}`}), revision: i + 1, time: 0,
	})),
});

describe('archiveOldEdits', () => {
	it('uses an archive with fewer entries that another writer created, and loses no entry', async () => {
		const keyValue = new MemoryKeyValue();
		const store = {keyValue, limit: new TimeLimit({clock: new SystemClock(), random: seededRandom(1), milliseconds: 1000})};

		// The first writer archives four entries, but does not write the head.
		await archiveOldEdits(store, headWith(5));
		const archived = await archiveOldEdits(store, headWith(8));
		expect(archived.unwrap().floor).to.equal(5);
		const edits = await collectEdits(store, archived.unwrap());
		expect(edits.unwrap().map(({revision}) => revision)).to.deep.equal([8, 7, 6, 5, 4, 3, 2, 1]);
	});
});
