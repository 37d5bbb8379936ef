import {expect} from 'chai';
import {Publisher} from './index.js';

describe('Publisher', () => {
	// The library `most` resolves observables by a private symbol in the compiled program, so the stream is tested there.
	it('delivers items to streams and subscribers', async () => {
		const publisher = new Publisher<number>();
		const received: number[] = [];
		const streamEnd = publisher.changes.map(item => item * 10).take(2).observe(item => {
			received.push(item);
		});
		const unsubscribe = publisher.subscribe(item => {
			received.push(item);
		});
		publisher.publish(1);
		unsubscribe();
		publisher.publish(2);
		publisher.publish(3);
		await streamEnd;
		expect(received).to.deep.equal([10, 1, 20]);
	});
});
