import {expect} from 'chai';
import {expectedIdleMs, transferOrder, type TransferForecast} from './transfer-order.js';

/** A version of 2.4 MB takes 6 s at 0.4 MB/s, while the staleness bound is 8.4 s. */
const VERSION_BYTES = 2_400_000;
const baseForecast: TransferForecast = {
	older: {learnedAt: 0, remainingBytes: VERSION_BYTES},
	newer: {learnedAt: 3000, remainingBytes: VERSION_BYTES},
	now: 3000,
	bytesPerSecond: 400_000,
	switchMs: 500,
	usableMs: 8400,
};

describe('transferOrder', () => {
	it('skips the older version when the newer one arrives before the bound of the older one', () => {
		expect(transferOrder({...baseForecast, older: {learnedAt: 0, remainingBytes: VERSION_BYTES / 2}, now: 1800})).to.equal('newer only');
		expect(transferOrder({...baseForecast, bytesPerSecond: 500_000, newer: {learnedAt: 3000, remainingBytes: VERSION_BYTES * 0.95}})).to.equal('newer only');
	});

	it('skips the older version when finishing it would delay the newer one long beyond its bound', () => {
		const forecast = {
			...baseForecast, older: {learnedAt: 0, remainingBytes: VERSION_BYTES / 2}, newer: {learnedAt: 3000, remainingBytes: VERSION_BYTES * 0.95}, now: 6000,
		};
		expect(expectedIdleMs(forecast)).to.deep.equal({'newer only': 3800, 'older first': 5400});
		expect(transferOrder(forecast)).to.equal('newer only');
	});

	it('finishes the older version first when the engine can serve it until the newer one arrives', () => {
		const forecast = {...baseForecast, older: {learnedAt: 0, remainingBytes: VERSION_BYTES / 10}, now: 4000};
		expect(expectedIdleMs(forecast)).to.deep.equal({'newer only': 2100, 'older first': 200});
		expect(transferOrder(forecast)).to.equal('older first');
	});

	it('finishes an older version that is nearly complete, because the newer one may be delayed', () => {
		const forecast = {
			...baseForecast, older: {learnedAt: 0, remainingBytes: VERSION_BYTES / 50}, newer: {learnedAt: 3000, remainingBytes: VERSION_BYTES / 2}, now: 4000,
		};
		expect(expectedIdleMs(forecast)).to.deep.equal({'newer only': 0, 'older first': 0});
		expect(transferOrder(forecast)).to.equal('older first');
	});

	it('skips an older version that would arrive after the bound of the newer one', () => {
		expect(transferOrder({...baseForecast, older: {learnedAt: 0, remainingBytes: VERSION_BYTES * 2}, newer: {learnedAt: 1000, remainingBytes: VERSION_BYTES}})).to.equal('newer only');
	});

	it('finishes the older version when the newer one was set too late to arrive before the bound of the older one', () => {
		expect(transferOrder({
			...baseForecast, older: {learnedAt: 0, remainingBytes: VERSION_BYTES / 3}, newer: {learnedAt: 7000, remainingBytes: VERSION_BYTES}, now: 6000,
		})).to.equal('older first');
	});
});
