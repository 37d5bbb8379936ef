import {expect} from 'chai';
import {expectedIdleMs, transferOrder, type TransferForecast} from './transfer-order.js';

/** A version of 2.4 MB over 0.4 MB/s takes 6 s of a bound of 8.4 s. */
const BYTES = 2_400_000;
const base: TransferForecast = {
	older: {learnedAt: 0, remainingBytes: BYTES},
	newer: {learnedAt: 3000, remainingBytes: BYTES},
	now: 3000,
	bytesPerSecond: 400_000,
	switchMs: 500,
	usableMs: 8400,
};

describe('transferOrder', () => {
	it('skips the older version when the newer one comes before its bound, however far apart they were named', () => {
		expect(transferOrder({...base, older: {learnedAt: 0, remainingBytes: BYTES / 2}, now: 1800})).to.equal('newer only');
		expect(transferOrder({...base, bytesPerSecond: 500_000, newer: {learnedAt: 3000, remainingBytes: BYTES * 0.95}})).to.equal('newer only');
	});

	it('does not finish a version first that would make the newer one come long after its bound', () => {
		const forecast = {
			...base, older: {learnedAt: 0, remainingBytes: BYTES / 2}, newer: {learnedAt: 3000, remainingBytes: BYTES * 0.95}, now: 6000,
		};
		expect(expectedIdleMs(forecast)).to.deep.equal({'newer only': 3800, 'older first': 5400});
		expect(transferOrder(forecast)).to.equal('newer only');
	});

	it('finishes the older version first when it bridges the time until the newer one, so that the engine always may serve', () => {
		const forecast = {...base, older: {learnedAt: 0, remainingBytes: BYTES / 10}, now: 4000};
		expect(expectedIdleMs(forecast)).to.deep.equal({'newer only': 2100, 'older first': 200});
		expect(transferOrder(forecast)).to.equal('older first');
	});

	it('finishes an older version that is nearly complete, because the newer one may be held up', () => {
		const forecast = {
			...base, older: {learnedAt: 0, remainingBytes: BYTES / 50}, newer: {learnedAt: 3000, remainingBytes: BYTES / 2}, now: 4000,
		};
		expect(expectedIdleMs(forecast)).to.deep.equal({'newer only': 0, 'older first': 0});
		expect(transferOrder(forecast)).to.equal('older first');
	});

	it('skips an older version that would come after the bound of the newer one', () => {
		expect(transferOrder({...base, older: {learnedAt: 0, remainingBytes: BYTES * 2}, newer: {learnedAt: 1000, remainingBytes: BYTES}})).to.equal('newer only');
	});

	it('finishes the older version when the newer one was named too late to come before the bound of the older', () => {
		expect(transferOrder({
			...base, older: {learnedAt: 0, remainingBytes: BYTES / 3}, newer: {learnedAt: 7000, remainingBytes: BYTES}, now: 6000,
		})).to.equal('older first');
	});
});
