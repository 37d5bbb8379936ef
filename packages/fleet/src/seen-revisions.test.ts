import {expect} from 'chai';
import {SeenRevisions} from './seen-revisions.js';

describe('SeenRevisions', () => {
	it('does not pass over a change that no part told, although a later one was told', () => {
		const seen = new SeenRevisions();
		seen.advance(10);
		seen.add(11);
		seen.add(13);
		expect(seen.upTo).to.equal(11);
		seen.add(12);
		expect(seen.upTo).to.equal(13);
	});

	it('goes on after the parts were asked', () => {
		const seen = new SeenRevisions();
		seen.add(21);
		seen.add(15);
		seen.advance(20);
		expect(seen.upTo).to.equal(21);
	});
});
