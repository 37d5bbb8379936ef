import {expect} from 'chai';
import {RevisionTimes} from './revision-times.js';

describe('RevisionTimes', () => {
	it('returns the latest time at which a revision did not exist yet', () => {
		const times = new RevisionTimes();
		times.record(10, 100);
		times.record(12, 200);
		expect([10, 11, 12, 13].map(revision => times.latestTimeBefore(revision))).to.deep.equal([undefined, 100, 100, 200]);
	});

	it('keeps the later time of the same revision and ignores responses that narrow nothing', () => {
		const times = new RevisionTimes();
		times.record(10, 100);
		times.record(10, 300);
		times.record(11, 250);
		expect([11, 12].map(revision => times.latestTimeBefore(revision))).to.deep.equal([300, 300]);
	});

	it('replaces the earlier time of a higher revision', () => {
		const times = new RevisionTimes();
		times.record(20, 100);
		times.record(10, 300);
		expect([11, 21].map(revision => times.latestTimeBefore(revision))).to.deep.equal([300, 300]);
	});
});
