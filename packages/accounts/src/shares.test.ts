import {VirtualClock, VirtualTime} from '@yuccawood/membership/testing';
import {expect} from 'chai';
import fc from 'fast-check';
import {maxMinShares, wholeMaxMinShares} from './max-min.js';
import {ShareHome} from './share-home.js';
import type {Limits} from './share-messages.js';

const parameters = {seed: 11, numRuns: 300};
const demands = fc.array(fc.integer({min: 0, max: 100}), {minLength: 1, maxLength: 8});
const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

describe('maxMinShares', () => {
	it('divides the whole limit, and gives no one less than its demand while another one gets more', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 300}), demands, (limit, wanted) => {
			const shares = maxMinShares(limit, wanted);
			expect(sum(shares)).to.be.closeTo(limit, 1e-6);
			for (const [index, share] of shares.entries()) {
				expect(share >= wanted[index] - 1e-6 || share >= Math.max(...shares) - 1e-6).to.equal(true);
			}
		}), parameters);
	});

	it('keeps whole shares within the limit and within one unit of the exact ones', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 300}), demands, fc.integer({min: 0, max: 12}), (limit, wanted, partyCount) => {
			const exact = maxMinShares(limit, wanted, partyCount);
			const whole = wholeMaxMinShares(limit, wanted, partyCount);
			expect(sum(whole)).to.be.at.most(limit);
			for (const [index, share] of whole.entries()) {
				expect(Math.abs(share - exact[index])).to.be.below(1 + 1e-6);
			}
		}), parameters);
	});
});

describe('ShareHome', () => {
	const limits: Limits = {rate: 40, concurrent: 40};

	/** Reports of entries: the time before the report, the entry, its demand, and whether the answer is lost. */
	const reports = fc.array(fc.record({
		waitMs: fc.integer({min: 0, max: 1500}), entry: fc.integer({min: 0, max: 4}), demand: fc.integer({min: 0, max: 100}), isLost: fc.boolean(),
	}), {minLength: 40, maxLength: 80, size: 'max'});

	it('keeps the sum of valid shares within the limit while entries join, go silent and lose answers', async () => {
		await fc.assert(fc.asyncProperty(reports, async sequence => {
			const time = new VirtualTime();
			const home = new ShareHome({clock: new VirtualClock(time), validMs: 3500, liveEntryCount: () => 5});
			const held = new Map<number, {readonly rate: number; readonly concurrent: number; readonly until: number}>();
			const validShare = (entry: number): Limits => {
				const share = held.get(entry);
				return share && time.now < share.until ? share : {rate: 0, concurrent: 0};
			};

			for (const {waitMs, entry, demand, isLost} of sequence) {
				await time.advance(waitMs);
				const {rate, concurrent} = validShare(entry);
				const share = home.grant(`e${entry}`, {
					account: 'kit', rateDemand: demand, concurrentDemand: demand, inUse: 0, heldRate: rate, heldConcurrent: concurrent,
				}, limits);
				if (!isLost) {
					held.set(entry, {...share, until: time.now + share.validMs});
				}

				const shares = [...held.keys()].map(id => validShare(id));
				expect(sum(shares.map(one => one.concurrent))).to.be.at.most(limits.concurrent);
				expect(sum(shares.map(one => one.rate))).to.be.at.most(limits.rate + 1e-6);
			}
		}), {...parameters, numRuns: 60});
	});

	it('keeps a part of the limit for an entry that has not reported yet', () => {
		const home = new ShareHome({clock: new VirtualClock(new VirtualTime()), validMs: 3500, liveEntryCount: () => 2});
		const report = {
			account: 'kit', rateDemand: 2, concurrentDemand: 2, inUse: 2, heldRate: 0, heldConcurrent: 0,
		};
		home.grant('e0', report, limits);
		const {concurrent} = home.grant('e1', report, limits);
		expect(concurrent).to.be.at.least(2);
	});

	it('extends the validity of shares with the number of reporting entries, which bounds the reports to the home entry', () => {
		const home = new ShareHome({clock: new VirtualClock(new VirtualTime()), validMs: 3500, liveEntryCount: () => 60});
		const report = {
			account: 'kit', rateDemand: 1, concurrentDemand: 1, inUse: 1, heldRate: 0, heldConcurrent: 0,
		};
		const validities = Array.from({length: 60}, (_, index) => home.grant(`e${index}`, report, limits).validMs);
		expect(validities.at(0)).to.equal(3500);
		expect(validities.at(-1)).to.be.above(30_000);
	});
});
