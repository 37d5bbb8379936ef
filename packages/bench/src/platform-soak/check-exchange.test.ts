import {eventsFrom, type RequestRun} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {checkExchange} from './check-exchange.js';
import type {Exchange} from './types.js';

const NO_EXCUSES = {
	entry: [], paths: [], lossSlackMs: 200, stops: [], stopGraceMs: 6000,
};
const run: RequestRun = {
	requestId: 'a', account: 'shop', hasKey: false, version: undefined, endless: undefined,
};

const exchange = (changes: Partial<Exchange> = {}): Exchange => ({
	requestId: 'a', kind: 'once', entry: 0, sentAt: 0, endedAt: 100, writtenAt: 0, timeoutMs: 3000, limitMs: 3000, leftAt: undefined,
	status: 200, isSealed: true, body: '"done a"', isComplete: true, connection: 'new', ...changes,
});

const promisesOf = (changes: Partial<Exchange>, runs = [run], excuses: Parameters<typeof checkExchange>[2] = NO_EXCUSES): readonly string[] =>
	checkExchange(exchange(changes), runs, excuses).map(({promise}) => promise);

describe('checkExchange', () => {
	it('accepts a sound answer', () => {
		expect(promisesOf({})).to.deep.equal([]);
		expect(promisesOf({kind: 'stream', body: eventsFrom(1)})).to.deep.equal([]);
	});

	it('finds answers of other requests, without a seal, and streams with a gap or an early end', () => {
		expect(promisesOf({body: '"done b"'})).to.deep.equal(['mixed']);
		expect(promisesOf({isSealed: false})).to.deep.equal(['mixed']);
		expect(promisesOf({kind: 'stream', body: eventsFrom(1, 3) + eventsFrom(5)})).to.deep.equal(['order']);
		expect(promisesOf({kind: 'stream', body: eventsFrom(1, 3)})).to.deep.equal(['order']);
	});

	it('finds a second run, and a refusal of a request that ran', () => {
		expect(promisesOf({}, [run, run])).to.deep.equal(['twice']);
		expect(promisesOf({status: 503, isSealed: false, body: ''})).to.deep.equal(['refused-ran']);
		expect(promisesOf({status: 503, isSealed: false, body: ''}, [])).to.deep.equal([]);
	});

	it('finds cut connections, but not while the entry was killed', () => {
		expect(promisesOf({status: undefined, isComplete: false})).to.deep.equal(['no-answer']);
		expect(promisesOf({status: undefined, isComplete: false}, [run], {...NO_EXCUSES, entry: [{from: 50, to: 60}]})).to.deep.equal([]);
		expect(promisesOf({status: undefined, isComplete: false}, [run], {...NO_EXCUSES, paths: [{from: 50, to: 60}]})).to.deep.equal(['no-answer']);
	});

	it('finds cut requests on kept connections, but not one that crossed the end of its connection', () => {
		const cut = {status: undefined, isComplete: false, connection: 'kept'} as const;
		expect(promisesOf(cut)).to.deep.equal(['no-answer']);
		expect(promisesOf({...cut, endedAt: 300}, [])).to.deep.equal(['no-answer']);
		expect(promisesOf(cut, [])).to.deep.equal([]);
		expect(promisesOf({...cut, connection: 'none', endedAt: 300}, [])).to.deep.equal([]);
	});

	it('allows that an answer without an end is cut', () => {
		expect(promisesOf({isComplete: false, body: 'x'}, [{...run, endless: 'body'}])).to.deep.equal([]);
		expect(promisesOf({kind: 'stream', body: 'id: 1\ndata: xxxx', isComplete: true}, [{...run, endless: 'event'}])).to.deep.equal(['order']);
		expect(promisesOf({status: 503, isSealed: false, body: ''}, [{...run, endless: 'noise'}])).to.deep.equal(['refused-ran']);
	});

	it('allows that a caller leaves without an answer', () => {
		expect(promisesOf({status: undefined, isComplete: false, leftAt: 100})).to.deep.equal([]);
	});

	it('allows that an entry ends a stream at the time limit of its caller', () => {
		const cut = {
			kind: 'stream', isComplete: false, body: '', limitMs: 200,
		} as const;
		expect(promisesOf({...cut, endedAt: 150})).to.deep.equal([]);
		expect(promisesOf({...cut, endedAt: 130})).to.deep.equal(['no-answer']);
		expect(promisesOf({...cut, endedAt: 2900, limitMs: 3000})).to.deep.equal(['no-answer']);
	});

	it('finds requests that a stopping entry cuts, but not one sent early in the grace that was at work in its last part', () => {
		const cut = {
			status: undefined, isComplete: false, sentAt: 2900, endedAt: 5600, connection: 'kept',
		} as const;
		const stops = {...NO_EXCUSES, stops: [0]};
		expect(promisesOf(cut, [run], stops)).to.deep.equal([]);
		expect(promisesOf({...cut, endedAt: 4900}, [run], stops)).to.deep.equal(['no-answer']);
		expect(promisesOf({...cut, sentAt: 3100}, [run], stops)).to.deep.equal(['no-answer']);
	});

	it('finds answers after the time limit of the route', () => {
		expect(promisesOf({endedAt: 9000})).to.deep.equal(['late-answer']);
	});
});
