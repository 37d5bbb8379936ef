import {expect} from 'chai';
import {sharingEntries} from './upstream-states.js';

describe('sharingEntries', () => {
	it('assumes several entries while none is known, so that a restart without the store does not multiply the budget', () => {
		expect(sharingEntries({entries: new Map()})).to.be.greaterThan(4);
		expect(sharingEntries({entries: new Map([['self', 'a']])})).to.be.greaterThan(4);
	});

	it('counts the entries that are listed', () => {
		expect(sharingEntries({entries: new Map([['self', 'a'], ['other', 'b'], ['third', 'c']])})).to.equal(3);
	});
});
