import {expect} from 'chai';
import {limitSignal} from './limited-signal.js';
import {delay} from './tasks.js';

describe('limitSignal', () => {
	it('fires although nobody else holds the signal, as a collected timeout would not', async () => {
		const {signal, release} = limitSignal(new AbortController().signal, 20);
		await delay(60);
		expect(signal.aborted).to.equal(true);
		release();
	});

	it('aborts with its source, and never after its release', async () => {
		const source = new AbortController();
		const first = limitSignal(source.signal, 1000);
		source.abort();
		expect(first.signal.aborted).to.equal(true);
		const second = limitSignal(new AbortController().signal, 10);
		second.release();
		await delay(40);
		expect(second.signal.aborted).to.equal(false);
	});
});
