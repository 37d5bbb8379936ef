import {expect} from 'chai';
import {InvariantChecker, MemoryMetrics, SILENT_LOG} from './index.js';

describe('Invariants', () => {
	it('counts a violation under the name of the invariant', () => {
		const metrics = new MemoryMetrics();
		const invariants = new InvariantChecker({log: SILENT_LOG, metrics});
		expect(invariants.check('runs-once', true)).to.equal(true);
		expect(invariants.check('runs-once', false, {requestId: 'a'})).to.equal(false);
		expect(Object.fromEntries(metrics.counters)).to.deep.equal({'invariants.broken,invariant=runs-once': 1});
	});
});
