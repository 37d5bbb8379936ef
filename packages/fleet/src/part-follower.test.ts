import {
	Err, MemoryMetrics, Ok, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';
import {expect} from 'chai';
import {ItemLog} from './item-log.js';
import {PartFollower} from './part-follower.js';
import {RevisionTimes} from './revision-times.js';
import type {ItemSource} from './item-source.js';

const clock = new SystemClock();
const TRANSFER = {bytes: 1, milliseconds: 0};

/** A store whose watches fail because the missed changes exceed the size limit of a response. */
const source: ItemSource = {
	snapshot: async () => Ok({items: [{key: 'big', value: 'newest', revision: 50}], revision: 50, transfer: TRANSFER}),
	watch: async () => Err(new PlatformError({kind: 'unavailable', detail: 'The answer is too large.', remedy: 'Read the newest value.'})),
	check: async () => Ok({revision: 50, isNewConnection: false}),
	revision: async () => Ok(1),
	renewConnections: () => undefined,
};

describe('PartFollower', () => {
	it('reads the newest value of a bulky part when the missed changes exceed the size limit of a response', async () => {
		const items = new ItemLog({clock});
		const stop = new AbortController();
		let reads = 0;
		const follower = new PartFollower({
			part: {name: 'big', prefix: 'big', isBulky: true}, items, times: new RevisionTimes(), clock, random: seededRandom(1), log: SILENT_LOG, metrics: new MemoryMetrics(),
			source: {
				...source,
				async snapshot(prefix, options) {
					reads++;
					return reads === 1 ? Ok({items: [{key: 'big', value: 'first', revision: 1}], revision: 1, transfer: TRANSFER}) : source.snapshot(prefix, options);
				},
			},
			onItems(received) {
				for (const item of received) {
					items.record(item);
				}
			},
			isRevisionSeen: () => false,
			onRevisionKnown: () => undefined,
			onCallFailed: async () => true,
		});
		const running = follower.run(stop.signal);
		await clock.sleep(1000);
		stop.abort();
		await running;
		expect(items.stateOf('big', 0).later).to.deep.equal({big: 50});
	});

	describe('when an answer cannot be applied', () => {
		it('asks for it again, and follows later changes', async () => {
			const items = new ItemLog({clock});
			const metrics = new MemoryMetrics();
			const stop = new AbortController();
			let answers = 0;
			const follower = new PartFollower({
				part: {name: 'small', prefix: 'small', isBulky: false}, items, times: new RevisionTimes(), clock, random: seededRandom(1), log: SILENT_LOG, metrics,
				source: {
					...source,
					snapshot: async () => Ok({items: [{key: 'small/a', value: 'first', revision: 1}], revision: 1, transfer: TRANSFER}),
					async watch() {
						await clock.sleep(20);
						return Ok({items: [{key: 'small/b', value: 'later', revision: 2}], revision: 2, transfer: TRANSFER});
					},
				},
				onItems(received) {
					if (answers++ < 2) {
						throw new Error('no room');
					}

					for (const item of received) {
						items.record(item);
					}
				},
				isRevisionSeen: () => false,
				onRevisionKnown: () => undefined,
				onCallFailed: async () => true,
			});
			const running = follower.run(stop.signal);
			await clock.sleep(2000);
			stop.abort();
			await running;
			expect(items.keys).to.deep.equal(['small/a', 'small/b']);
			expect(metrics.counters.get('fleet.follow_failures,part=small')).to.equal(2);
		});
	});
});
