import {
	MemoryMetrics, Ok, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {expect} from 'chai';
import {FleetView} from './fleet-view.js';
import {StoreFollower} from './store-follower.js';
import type {ItemSource, StoreItem} from './types.js';

const clock = new SystemClock();
const targetItem = (version: number): StoreItem => ({key: 'versions/m', value: String(version), revision: version});

describe('StoreFollower', () => {
	it('learns of each target version when one answer of the store reports two, since each has a staleness bound of its own', () => {
		const view = new FleetView({clock, log: SILENT_LOG});
		const follower = new StoreFollower({
			source: {} as unknown as ItemSource, view, parts: [{
				name: 'versions', prefix: 'versions/', isBulky: false, needsEachValue: true,
			}],
			decoder: {decode: ({value}) => Ok({kind: 'target', model: 'm', version: Number(value)})},
			clock, random: seededRandom(1), log: SILENT_LOG, metrics: new MemoryMetrics(),
		});
		follower.take([targetItem(2), targetItem(3)]);
		expect(view.targetsOf('m').map(({version}) => version)).to.deep.equal([2, 3]);
	});
});
