import {expect} from 'chai';
import {assumedEntryCount} from './upstream-states.js';

describe('sharingEntries', () => {
	it('assumes several entries while none is known, so that a restart without the store does not multiply the budget', () => {
		expect(assumedEntryCount({entries: new Map()})).to.be.greaterThan(4);
		expect(assumedEntryCount({entries: new Map([['self', 'a']])})).to.be.greaterThan(4);
	});

	it('counts the entries that are listed', () => {
		expect(assumedEntryCount({entries: new Map([['self', 'a'], ['other', 'b'], ['third', 'c']])})).to.equal(3);
	});
});
