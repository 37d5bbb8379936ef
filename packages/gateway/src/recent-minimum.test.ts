import {expect} from 'chai';
import {RecentMinimum} from './recent-minimum.js';

describe('RecentMinimum', () => {
	let minimum: RecentMinimum;

	beforeEach(() => {
		minimum = new RecentMinimum({windowMs: 1000});
	});

	it('is unknown before the first value', () => {
		expect(minimum.at(0)).to.equal(undefined);
	});

	it('is the smallest value of the window', () => {
		minimum.record(30, 0);
		minimum.record(10, 500);
		minimum.record(20, 1100);
		expect(minimum.at(1500)).to.equal(10);
	});

	it('forgets values, so that what was refused for them is tried again', () => {
		minimum.record(10, 0);
		minimum.record(50, 1100);
		expect(minimum.at(2200)).to.equal(50);
		expect(minimum.at(4200)).to.equal(undefined);
	});
});
