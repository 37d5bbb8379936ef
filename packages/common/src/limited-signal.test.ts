import {expect} from 'chai';
import {signalWithTimeout} from './limited-signal.js';
import {delay} from './tasks.js';

describe('limitSignal', () => {
	it('aborts after the time although nothing else references the signal', async () => {
		const {signal, release} = signalWithTimeout(new AbortController().signal, 20);
		await delay(60);
		expect(signal.aborted).to.equal(true);
		release();
	});

	it('aborts with its source, but not after it was released', async () => {
		const source = new AbortController();
		const withSource = signalWithTimeout(source.signal, 1000);
		source.abort();
		expect(withSource.signal.aborted).to.equal(true);
		const released = signalWithTimeout(new AbortController().signal, 10);
		released.release();
		await delay(40);
		expect(released.signal.aborted).to.equal(false);
	});
});
