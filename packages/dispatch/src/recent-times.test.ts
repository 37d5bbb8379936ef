import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';
import {expect} from 'chai';
import {RecentTimes} from './recent-times.js';
import {RetryBudget} from './retry-budget.js';

/** Events before the first question, as after hours without one, and the time that the answer may take in milliseconds. */
const EVENTS = 2_000_000;
const MAX_ANSWER_MS = 100;

/** Bytes of the heap without garbage. */
const heapInUse = (): number => {
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
};

/** @returns the longest time of the calls, in milliseconds */
const longest = (calls: ReadonlyArray<() => unknown>): number => Math.max(...calls.map(run => {
	const startedAt = performance.now();
	run();
	return performance.now() - startedAt;
}));

describe('RecentTimes', () => {
	it('counts the events of the window', () => {
		const times = new RecentTimes({windowMs: 100});
		for (const at of [0, 50, 100, 150]) {
			times.record(at);
		}

		expect([times.countAt(150), times.countAt(151), times.countAt(250), times.countAt(251)]).to.deep.equal([3, 2, 1, 0]);
	});

	it('counts correctly after many events', () => {
		const times = new RecentTimes({windowMs: 1000});
		for (let at = 0; at < 10_000; at++) {
			times.record(at);
			expect(times.countAt(at)).to.equal(Math.min(at + 1, 1001));
		}
	});

	it('answers at once after many events without a question, which had made an entry stand still', () => {
		const times = new RecentTimes({windowMs: 1000});
		for (let at = 0; at < EVENTS; at++) {
			times.record(at);
		}

		expect(longest([() => times.countAt(EVENTS * 2)])).to.be.below(MAX_ANSWER_MS);
	});
});

describe('RetryBudget', () => {
	it('keeps no more requests than its window has, and decides at once after many of them without a failure', () => {
		const heapBefore = heapInUse();
		const budget = new RetryBudget({
			windowMs: 1000, ratio: 0.2, slack: 10, entries: () => 1,
		});
		for (let at = 0; at < EVENTS; at++) {
			budget.countRequest(at);
		}

		// A million numbers take 8 MB.
		expect(heapInUse() - heapBefore).to.be.below(8 * 1024 * 1024);
		expect(longest([() => budget.allowsRetry(EVENTS)])).to.be.below(MAX_ANSWER_MS);
	});
});
