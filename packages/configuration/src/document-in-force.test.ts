import {expect} from 'chai';
import fc from 'fast-check';
import {MemoryMetrics, SILENT_LOG} from '@yuccawood/common';
import {splitDocument} from './document.js';
import {DocumentInForce} from './document-in-force.js';
import {DOCUMENT} from './support.test.js';
import type {Sections} from './types.js';

const sectionsOf = (extra: Readonly<Record<string, string>>): Sections =>
	Object.fromEntries(Object.entries({...splitDocument(DOCUMENT), ...extra}).map(([name, text]) => [name, {text, revision: 1}]));

const VALID = sectionsOf({});
const FAULTY = sectionsOf({rollout: 'balance = 9'});

describe('DocumentInForce', () => {
	it('publishes strictly ascending revisions and no faulty document, in any order of arrival', () => {
		const snapshot = fc.record({revision: fc.integer({min: -1, max: 12}), sections: fc.constantFrom(VALID, VALID, FAULTY)});
		fc.assert(fc.property(fc.array(snapshot, {maxLength: 20}), snapshots => {
			const document = new DocumentInForce({log: SILENT_LOG, metrics: new MemoryMetrics()});
			let highest = 0;
			for (const {revision, sections} of snapshots) {
				const isExpected = sections === VALID && revision > highest;
				expect(document.apply({revision, sections})).to.equal(isExpected);
				highest = isExpected ? revision : highest;
				expect(document.revision).to.equal(highest);
				expect(document.current?.configuration.rollout.balance ?? 0.5).to.equal(0.5);
			}
		}), {seed: 77});
	});

	it('ignores values that are not documents, such as those of a peer of another software version', () => {
		const document = new DocumentInForce({log: SILENT_LOG, metrics: new MemoryMetrics()});
		for (const value of [{revision: 2, sections: 'text'}, {revision: '3', sections: VALID}, {revision: 4, sections: {owners: {text: 1}}}]) {
			expect(document.apply(value as never)).to.equal(false);
		}
	});
});
