import {expect} from 'chai';
import {checkCallers, type CallerReport} from './check-callers.js';
import type {Exchange, Interval, TimedRun} from './types.js';

const exchange: Exchange = {
	requestId: 'a', kind: 'once', entry: 0, sentAt: 5000, endedAt: 5400, writtenAt: 5000, timeoutMs: 3000, limitMs: 400, leftAt: 5400,
	status: undefined, isSealed: false, body: '', isComplete: false, connection: 'kept',
};

const run: TimedRun = {
	requestId: 'a', account: 'shop', hasKey: false, version: undefined, endless: undefined, upstream: 'u-0', at: 5100, remainingMs: 300,
};

const check = ({runs = [run], disturbances = [], limitMs = 400, pausedMs = 0}: {
	readonly runs?: readonly TimedRun[];
	readonly disturbances?: readonly Interval[];
	readonly limitMs?: number;
	readonly pausedMs?: number;
}): CallerReport => checkCallers({
	exchanges: [{...exchange, limitMs}], runsOf: () => runs, disturbancesOf: () => disturbances, stableMs: 3000, pausedWithin: () => pausedMs,
});

const promisesOf = (options: Parameters<typeof check>[0]): readonly string[] => check(options).breaches.map(({promise}) => promise);

describe('checkCallers', () => {
	describe('callers that left', () => {
		const late = {...run, at: 6000, remainingMs: -200};

		it('accepts runs that begin before or soon after', () => {
			expect(promisesOf({runs: [run, {...run, at: 5890, remainingMs: 10}]})).to.deep.equal([]);
		});

		it('finds more than a few late runs', () => {
			expect(promisesOf({runs: [late, late, late]})).to.deep.equal([]);
			expect(promisesOf({runs: [late, late, late, late]})).to.deep.equal(['gone', 'gone', 'gone', 'gone']);
		});

		it('does not judge entries that were disturbed just before, but tells of them', () => {
			const {breaches, excused} = check({runs: [late, late, late, late], disturbances: [{from: 2000, to: 3100}]});
			expect(breaches).to.deep.equal([]);
			expect(excused).to.have.length(4);
			expect(promisesOf({runs: [late, late, late, late], disturbances: [{from: 2000, to: 2900}]})).to.have.length(4);
		});
	});

	it('does not count the time in which the soak itself stood still', () => {
		const late = {...run, at: 6000, remainingMs: 0};
		expect(promisesOf({runs: [late, late, late, late], pausedMs: 100})).to.deep.equal([]);
		expect(promisesOf({runs: [late, late, late, late], pausedMs: 90})).to.include('gone');
	});

	describe('time given to upstreams', () => {
		it('accepts what the caller has left, and a little more', () => {
			expect(promisesOf({runs: [{...run, remainingMs: 790}]})).to.deep.equal([]);
		});

		it('finds more than that, and none at all', () => {
			expect(promisesOf({runs: [{...run, remainingMs: 810}]})).to.deep.equal(['budget']);
			expect(promisesOf({runs: [{...run, remainingMs: undefined}]})).to.deep.equal(['budget']);
			expect(promisesOf({runs: [{...run, at: 5600, remainingMs: 400}], limitMs: 400})).to.deep.equal(['budget']);
		});
	});
});
