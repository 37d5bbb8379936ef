import {expect} from 'chai';
import {ENTRIES_PER_UPSTREAM, MIN_SUBSET_SIZE} from './constants.js';
import {upstreamSubset} from './upstream-subset.js';

const names = (prefix: string, count: number): readonly string[] => Array.from({length: count}, (_, index) => `${prefix}-${index}`);

describe('upstreamSubset', () => {
	it('assigns about the same number of entries to each upstream', () => {
		const entryIds = names('entry', 15);
		const upstreamIds = names('upstream', 58);
		const counts = new Map(upstreamIds.map(id => [id, 0]));
		for (const selfId of entryIds) {
			for (const id of upstreamSubset({selfId, entryIds, upstreamIds})) {
				counts.set(id, counts.get(id)! + 1);
			}
		}

		expect(Math.min(...counts.values())).to.be.at.least(ENTRIES_PER_UPSTREAM - 1);
		expect(Math.max(...counts.values())).to.be.at.most(ENTRIES_PER_UPSTREAM + 1);
	});

	it('changes little when an upstream is added, so that most connections are kept', () => {
		const entryIds = names('entry', 5);
		const before = upstreamSubset({selfId: 'entry-2', entryIds, upstreamIds: names('upstream', 30)});
		const after = upstreamSubset({selfId: 'entry-2', entryIds, upstreamIds: names('upstream', 31)});
		expect([...before].filter(id => !after.has(id)).length).to.be.at.most(3);
	});

	it('uses all upstreams of a small service, where a smaller subset would leave slots unused', () => {
		const upstreamIds = names('upstream', MIN_SUBSET_SIZE);
		expect(upstreamSubset({selfId: 'entry-0', entryIds: names('entry', 9), upstreamIds}).size).to.equal(upstreamIds.length);
	});

	it('uses all upstreams while the entry itself is not listed, as after a restart without the store', () => {
		const upstreamIds = names('upstream', 40);
		expect(upstreamSubset({selfId: 'unlisted', entryIds: names('entry', 9), upstreamIds}).size).to.equal(40);
	});
});
