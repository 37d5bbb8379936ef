import {expect} from 'chai';
import {checkBounds, type Change} from './check-bounds.js';
import {longestCalm} from './disruptions.js';
import type {Interval} from './types.js';

const run = {
	requestId: 'a', account: 'shop', hasKey: false, version: 1, endless: undefined, upstream: 'u-0', at: 6000,
};

const naming: Change = {
	promise: 'version', at: 1000, boundMs: 4000, subject: 'version 2 was named', forbids: ({version}) => version !== undefined && version < 2,
};

const promisesOf = ({core = [], entry = [], version = 1}: {readonly core?: readonly Interval[]; readonly entry?: readonly Interval[]; readonly version?: number}): readonly string[] =>
	checkBounds({...run, version}, [naming], {core, entry, stableMs: 1000}).map(({promise}) => promise);

describe('checkBounds', () => {
	it('finds a run on an older version after the bound', () => {
		expect(promisesOf({})).to.deep.equal(['version']);
		expect(promisesOf({version: 2})).to.deep.equal([]);
	});

	it('counts the bound in one stretch without impairments of the store', () => {
		expect(promisesOf({core: [{from: 1500, to: 2500}]})).to.deep.equal([]);
		expect(promisesOf({core: [{from: 0, to: 1500}]})).to.deep.equal(['version']);
	});

	it('does not judge entries that were disturbed just before', () => {
		expect(promisesOf({entry: [{from: 5200, to: 5300}]})).to.deep.equal([]);
		expect(promisesOf({entry: [{from: 4000, to: 4900}]})).to.deep.equal(['version']);
	});
});

describe('longestCalm', () => {
	it('joins overlapping disruptions', () => {
		expect(longestCalm({from: 0, to: 10}, [{from: 6, to: 8}, {from: 2, to: 7}])).to.equal(2);
		expect(longestCalm({from: 0, to: 10}, [{from: -5, to: 3}])).to.equal(7);
		expect(longestCalm({from: 0, to: 10}, [{from: -5, to: 30}])).to.equal(0);
	});
});
