// Guards against requests to upstreams that have left: a report that took effect late must not take them back into use.
import {delay, SILENT_LOG, SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import type {Upstream} from './types.js';
import {UpstreamList} from './upstream-list.js';

const HEARTBEAT_MS = 30;
const REMOVAL = {isRemoved: true, mayBeLeaseExpiry: false};
const OUTAGE = {isRemoved: true, mayBeLeaseExpiry: true, leaseGraceMs: 10};

const report = (changes: Partial<Upstream> = {}): Upstream => {
	const {startedAt = 1000} = changes;
	return {
		key: `i@10.0.0.1:1#${startedAt}`, id: 'i', service: 's', address: '10.0.0.1:1', failureDomain: 'z', slots: 4, state: 'ready', startedAt, sequence: 5, model: undefined, ...changes,
	};
};

describe('UpstreamList', () => {
	let list: UpstreamList;
	const apply = (upstream: Upstream | undefined, context: Parameters<UpstreamList['apply']>[2] = REMOVAL): void => {
		list.apply('i', upstream, context);
	};

	const listed = (): ReadonlyArray<Pick<Upstream, 'state' | 'sequence'>> => list.list.map(({state, sequence}) => ({state, sequence}));

	beforeEach(() => {
		list = new UpstreamList({
			clock: new SystemClock(), log: SILENT_LOG, onChange: () => undefined, heartbeatMs: HEARTBEAT_MS,
		});
	});

	afterEach(() => {
		list.close();
	});

	describe('a report that is older than the last one', () => {
		it('does not take a leaving upstream back into use', () => {
			apply(report({state: 'draining', sequence: 8}));
			apply(report({sequence: 5}));
			expect(listed()).to.deep.equal([{state: 'draining', sequence: 8}]);
		});

		it('of an earlier start does not replace the present one, whatever its number', () => {
			apply(report({startedAt: 2000, sequence: 1}));
			apply(report({startedAt: 1000, sequence: 90}));
			expect(list.list.map(({startedAt}) => startedAt)).to.deep.equal([2000]);
		});

		it('does not end the grace period after a store outage, and is used if its entry lasts', async () => {
			apply(report({sequence: 8}));
			apply(undefined, OUTAGE);
			apply(report({sequence: 5}));
			await delay(30);
			expect(listed()).to.deep.equal([]);
			await delay(HEARTBEAT_MS * 5);
			expect(listed()).to.deep.equal([{state: 'ready', sequence: 5}]);
		});
	});

	describe('a report that is not older', () => {
		it('is applied, also if it takes a leaving upstream back', () => {
			apply(report({state: 'draining', sequence: 8}));
			apply(report({sequence: 9}));
			expect(listed()).to.deep.equal([{state: 'ready', sequence: 9}]);
		});

		it('is applied with the same number', () => {
			apply(report());
			apply(report({state: 'draining'}));
			expect(listed()[0].state).to.equal('draining');
		});

		it('is applied after a new start, whose numbers begin anew', () => {
			apply(report({state: 'draining', sequence: 80}));
			apply(report({startedAt: 2000, sequence: 1}));
			expect(listed()).to.deep.equal([{state: 'ready', sequence: 1}]);
		});

		it('is applied where the platform tells neither starts nor numbers', () => {
			apply(report({startedAt: undefined, state: 'draining', sequence: 80}));
			apply(report({startedAt: undefined, sequence: 1}));
			apply(report({sequence: undefined}));
			expect(listed()).to.deep.equal([{state: 'ready', sequence: undefined}]);
		});
	});

	describe('an upstream that has left and is listed again', () => {
		beforeEach(() => {
			apply(report({sequence: 1}));
			apply(undefined);
		});

		it('is not used if its entry is removed again, as that of an upstream that reports no more', async () => {
			apply(report({sequence: 7}));
			await delay(HEARTBEAT_MS * 3);
			apply(undefined);
			await delay(HEARTBEAT_MS * 2);
			expect(listed()).to.deep.equal([]);
		});

		it('is used once its entry has outlasted four heartbeats', async () => {
			apply(report({sequence: 7}));
			expect(listed()).to.deep.equal([]);
			await delay(HEARTBEAT_MS * 5);
			expect(listed()).to.deep.equal([{state: 'ready', sequence: 7}]);
		});

		it('is used with the newest of the reports that came meanwhile', async () => {
			apply(report({sequence: 7}));
			apply(report({sequence: 9}));
			apply(report({sequence: 8}));
			await delay(HEARTBEAT_MS * 5);
			expect(listed()).to.deep.equal([{state: 'ready', sequence: 9}]);
		});

		it('waits again after it was removed once more', () => {
			apply(report({sequence: 7}));
			apply(undefined);
			apply(report({sequence: 7}));
			expect(listed()).to.deep.equal([]);
		});

		it('is listed at once as leaving', () => {
			apply(report({sequence: 7}));
			apply(report({sequence: 8, state: 'draining'}));
			expect(listed()).to.deep.equal([{state: 'draining', sequence: 8}]);
		});

		it('is used at once after a new start', () => {
			apply(report({startedAt: 2000, sequence: 1}));
			expect(listed()).to.deep.equal([{state: 'ready', sequence: 1}]);
		});
	});

	it('uses an upstream at once whose lease expired because of a store outage', async () => {
		apply(report({sequence: 1}));
		apply(undefined, OUTAGE);
		await delay(30);
		expect(listed()).to.deep.equal([]);
		apply(report({sequence: 4}));
		expect(listed()).to.deep.equal([{state: 'ready', sequence: 4}]);
	});

	it('uses an upstream at once whose entry another writer made unusable for a while', () => {
		apply(report({sequence: 1}));
		apply(undefined, {isRemoved: false, mayBeLeaseExpiry: false});
		expect(listed()).to.deep.equal([]);
		apply(report({sequence: 4}));
		expect(listed()).to.deep.equal([{state: 'ready', sequence: 4}]);
	});

	it('uses an upstream at once where the interval of the reports is unknown', () => {
		list = new UpstreamList({clock: new SystemClock(), log: SILENT_LOG, onChange: () => undefined});
		apply(report());
		apply(undefined);
		apply(report());
		expect(list.list.length).to.equal(1);
	});
});
