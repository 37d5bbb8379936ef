import {expect} from 'chai';
import {callerTimes} from './caller-times.js';

const times = (remainingMs: number) => callerTimes({
	arrivedAt: 1000, remainingMs, timeoutMs: 6000, goalMs: 400,
});

describe('callerTimes', () => {
	it('counts the goal of a first attempt from its arrival', () => {
		expect(times(5200)).to.deep.equal({goalAt: 1400, deadlineAt: 6200, returnRecognizedAt: 1400});
	});

	it('takes the goal of a caller that returns for missed', () => {
		expect(times(4000)).to.deep.equal({goalAt: 1000, deadlineAt: 5000, returnRecognizedAt: 1000});
	});

	it('ends a request at the timeout of the route if its caller would wait longer', () => {
		expect(times(60_000).deadlineAt).to.equal(7000);
	});
});
