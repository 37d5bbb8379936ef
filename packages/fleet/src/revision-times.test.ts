import {expect} from 'chai';
import {RevisionTimes} from './revision-times.js';

describe('RevisionTimes', () => {
	it('tells the latest time at which an item was not written yet, so that news that was held up gets no younger', () => {
		const times = new RevisionTimes();
		times.note(10, 100);
		times.note(12, 200);
		expect([10, 11, 12, 13].map(revision => times.notWrittenAt(revision))).to.deep.equal([undefined, 100, 100, 200]);
	});

	it('keeps a later proof for the same revision, and ignores an answer that tells less', () => {
		const times = new RevisionTimes();
		times.note(10, 100);
		times.note(10, 300);
		times.note(11, 250);
		expect([11, 12].map(revision => times.notWrittenAt(revision))).to.deep.equal([300, 300]);
	});

	it('uses a late answer with an old revision for older items too', () => {
		const times = new RevisionTimes();
		times.note(20, 100);
		times.note(10, 300);
		expect([11, 21].map(revision => times.notWrittenAt(revision))).to.deep.equal([300, 300]);
	});
});
