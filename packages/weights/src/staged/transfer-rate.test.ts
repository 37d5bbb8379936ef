import {expect} from 'chai';
import {MIN_TRANSFER_SHARE, MAX_SERVING_TRANSFER_SHARE} from './constants.js';
import {transferRate} from './transfer-rate.js';

const baseProgress = {
	totalBytes: 2_000_000, remainingBytes: 2_000_000, startedAt: 0, dueAt: 4000, now: 0, linkBytesPerSecond: 1_000_000,
};

describe('transferRate', () => {
	it('spreads the bytes over the time until the transfer is due, which leaves the rest of the link to live requests', () => {
		expect(transferRate(baseProgress)).to.equal(500_000);
	});

	it('catches up after a time without progress, so that the switch is still on time', () => {
		expect(transferRate({...baseProgress, remainingBytes: 1_800_000, now: 1000})).to.equal(600_000);
	});

	it('uses the maximum rate beside live requests when the transfer is late', () => {
		expect(transferRate({...baseProgress, now: 5000})).to.equal(1_000_000 * MAX_SERVING_TRANSFER_SHARE);
	});

	it('does not slow down when few pieces are left', () => {
		expect(transferRate({...baseProgress, remainingBytes: 50_000, now: 1000})).to.equal(500_000);
	});

	it('does not fall below the minimum rate when there is plenty of time', () => {
		expect(transferRate({...baseProgress, dueAt: 60_000})).to.equal(1_000_000 * MIN_TRANSFER_SHARE);
	});
});
