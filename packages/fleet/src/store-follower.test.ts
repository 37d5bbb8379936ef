import {
	Err, MemoryMetrics, Ok, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';
import {expect} from 'chai';
import {FleetView} from './fleet-view.js';
import {StoreFollower} from './store-follower.js';
import type {ItemSource, StoreItem} from './item-source.js';

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

	describe('when a peer sends an odd answer while the store is away', () => {
		const failure = Err(new PlatformError({kind: 'unavailable', detail: 'The store is away.', remedy: 'Wait.'}));
		const awaySource: ItemSource = {
			snapshot: async () => failure, watch: async () => failure, revision: async () => failure, check: async () => failure, renewConnections: () => undefined,
		};
		const sound = targetItem(2);
		const oddItems: readonly unknown[] = [
			null,
			7,
			{},
			{...sound, key: 7},
			{...sound, value: 7},
			{...sound, value: {}},
			{...sound, revision: '2'},
			{...sound, revision: 1e308},
			{...sound, revision: 1.5},
			{...sound, key: 'elsewhere/m', revision: 3},
		];
		const oddAnswers: readonly unknown[] = [
			null,
			7,
			'text',
			{},
			[...oddItems, sound],
		];

		it('takes the readable items, counts the others, and goes on asking', async () => {
			const view = new FleetView({clock, log: SILENT_LOG});
			const metrics = new MemoryMetrics();
			const stop = new AbortController();
			const answers = [...oddAnswers, [targetItem(9)]];
			let asked = 0;
			const running = new StoreFollower({
				source: awaySource, view, parts: [{name: 'versions', prefix: 'versions/', isBulky: false}],
				decoder: {decode: ({value}) => Ok({kind: 'target', model: 'm', version: Number(value)})},
				async askPeer() {
					return answers[asked++];
				},
				clock, random: seededRandom(1), log: SILENT_LOG, metrics,
			}).run(stop.signal);
			const end = clock.monotonic() + 20_000;
			while (view.targetOf('m')?.version !== 9 && clock.monotonic() < end) {
				await clock.sleep(20);
			}

			stop.abort();
			await running;
			expect(view.targetsOf('m').map(({version}) => version)).to.deep.equal([2, 9]);
			expect(metrics.counters.get('fleet.unreadable_items')).to.equal(oddAnswers.length - 1 + oddItems.length);
		});
	});
});
