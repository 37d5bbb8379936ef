import {expect} from 'chai';
import {seededRandom} from '@yuccawood/common';
import {HEAD_KEY} from './constants.js';
import type {ConfigurationError} from './errors.js';
import {initialiseDocument} from './initialise-document.js';
import {DOCUMENT, MemoryKeyValue, type WriteFault} from './support.test.js';

const random = seededRandom('initialise');

const initialise = async (keyValue: MemoryKeyValue, editId: string, text = DOCUMENT) => initialiseDocument({
	keyValue, text, author: 'ops', team: 'platform', editId, random,
});

describe('initialiseDocument', () => {
	it('lets exactly one of several authors write the first document', async () => {
		const keyValue = new MemoryKeyValue();
		const results = await Promise.all(['a', 'b', 'c'].map(async id => initialise(keyValue, id)));
		const kinds = results.map(result => result.ok ? 'written' : result.val.kind);
		expect(kinds).to.have.members(['written', 'exists', 'exists']);
	});

	const faults: readonly WriteFault[] = ['lost-after', 'lost-before', 'lost-late', 'unavailable'];
	for (const fault of faults) {
		it(`recognises its own document when a write is ${fault}`, async () => {
			const keyValue = new MemoryKeyValue();
			keyValue.writeFaults = [fault];
			const result = await initialise(keyValue, 'a');
			expect(result.ok).to.equal(true);
		});
	}

	it('writes nothing when the document has faults', async () => {
		const keyValue = new MemoryKeyValue();
		const result = await initialise(keyValue, 'a', '[vm.a]\nrole = rest\n');
		expect((result.val as ConfigurationError).faults).to.have.length(2);
		expect(keyValue.entries.has(HEAD_KEY)).to.equal(false);
	});
});
