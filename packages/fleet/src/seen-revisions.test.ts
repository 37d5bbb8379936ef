import {expect} from 'chai';
import {SeenRevisions} from './seen-revisions.js';

describe('SeenRevisions', () => {
	it('stops before a missing change although a later one was received', () => {
		const seen = new SeenRevisions();
		seen.advanceTo(10);
		seen.add(11);
		seen.add(13);
		expect(seen.seenUpTo).to.equal(11);
		seen.add(12);
		expect(seen.seenUpTo).to.equal(13);
	});

	it('continues with later changes after all parts were asked', () => {
		const seen = new SeenRevisions();
		seen.add(21);
		seen.add(15);
		seen.advanceTo(20);
		expect(seen.seenUpTo).to.equal(21);
	});
});
