import {expect} from 'chai';
import {MIN_TRANSFER_SHARE, MAX_SERVING_TRANSFER_SHARE} from './constants.js';
import {transferRate} from './transfer-rate.js';

const base = {
	totalBytes: 2_000_000, remainingBytes: 2_000_000, startedAt: 0, dueAt: 4000, now: 0, linkBytesPerSecond: 1_000_000,
};

describe('transferRate', () => {
	it('spreads the bytes up to the due time, so that live requests keep the rest of the link', () => {
		expect(transferRate(base)).to.equal(500_000);
	});

	it('makes up for a time without progress, so that a stalled origin does not cost the turn to switch', () => {
		expect(transferRate({...base, remainingBytes: 1_800_000, now: 1000})).to.equal(600_000);
	});

	it('uses all that live requests can spare once the due time is past', () => {
		expect(transferRate({...base, now: 5000})).to.equal(1_000_000 * MAX_SERVING_TRANSFER_SHARE);
	});

	it('does not slow down when few pieces are left, so that the last engine is not late', () => {
		expect(transferRate({...base, remainingBytes: 50_000, now: 1000})).to.equal(500_000);
	});

	it('keeps a least rate when there is plenty of time', () => {
		expect(transferRate({...base, dueAt: 60_000})).to.equal(1_000_000 * MIN_TRANSFER_SHARE);
	});
});
