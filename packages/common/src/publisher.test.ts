import {expect} from 'chai';
import {Publisher} from './index.js';

describe('Publisher', () => {
	it('delivers to streams and subscribers in the compiled program, where most resolves observables by a private symbol', async () => {
		const publisher = new Publisher<number>();
		const seen: number[] = [];
		const observed = publisher.changes.map(item => item * 10).take(2).observe(item => {
			seen.push(item);
		});
		const unsubscribe = publisher.subscribe(item => {
			seen.push(item);
		});
		publisher.publish(1);
		unsubscribe();
		publisher.publish(2);
		publisher.publish(3);
		await observed;
		expect(seen).to.deep.equal([10, 1, 20]);
	});
});
