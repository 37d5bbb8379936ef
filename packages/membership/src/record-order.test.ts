import {expect} from 'chai';
import fc from 'fast-check';
import {compareVersions, mergeRecords} from './record-order.js';
import type {MemberRecord, MemberStatus} from './types.js';

const statuses: readonly MemberStatus[] = ['alive', 'suspect', 'leaving', 'dead'];

/** The ranges are small so that equal incarnations and sequences are frequent. */
const records = fc.record({
	incarnation: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 3}), status: fc.constantFrom(...statuses), revision: fc.integer({min: 0, max: 4}),
}).map((part): MemberRecord => ({
	id: 'a', role: 'agent', address: '10.0.0.1:1', region: 'western', failureDomain: 'western-a', ...part,
}));

const parameters = {seed: 7, numRuns: 500};

describe('mergeRecords', () => {
	it('gives the same record in any order of arrival, so that all tables converge', () => {
		fc.assert(fc.property(records, records, records, (a, b, c) => {
			expect(mergeRecords(a, b)).to.deep.equal(mergeRecords(b, a));
			expect(mergeRecords(mergeRecords(a, b), c)).to.deep.equal(mergeRecords(a, mergeRecords(b, c)));
		}), parameters);
	});

	it('is not changed by repeated records', () => {
		fc.assert(fc.property(records, records, (a, b) => {
			const merged = mergeRecords(a, b);
			expect(mergeRecords(merged, a)).to.equal(merged);
			expect(mergeRecords(merged, b)).to.equal(merged);
		}), parameters);
	});

	it('never returns an older version or a lower revision of the same incarnation', () => {
		fc.assert(fc.property(records, records, (a, b) => {
			const merged = mergeRecords(a, b);
			expect(compareVersions(merged, a)).to.be.at.least(0);
			if (merged.incarnation === a.incarnation) {
				expect(merged.revision).to.be.at.least(a.revision);
			}
		}), parameters);
	});
});
