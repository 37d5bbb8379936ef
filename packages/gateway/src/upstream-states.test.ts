import {expect} from 'chai';
import {assumedEntryCount} from './upstream-states.js';

describe('assumedEntryCount', () => {
	it('assumes several entries while no other one is known, which limits budgets after a restart without the store', () => {
		expect(assumedEntryCount({entries: new Map()})).to.be.greaterThan(4);
		expect(assumedEntryCount({entries: new Map([['self', 'a']])})).to.be.greaterThan(4);
	});

	it('counts the listed entries', () => {
		expect(assumedEntryCount({entries: new Map([['self', 'a'], ['other', 'b'], ['third', 'c']])})).to.equal(3);
	});
});
