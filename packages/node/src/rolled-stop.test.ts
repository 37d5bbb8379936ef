import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {EntryFleet, type Sample} from './testing/entry-fleet.js';

const IPS = ['127.0.46.1', '127.0.46.2', '127.0.46.3'] as const;

/** Time between the stops of two entries, and from the stop of an entry to its next start. */
const STOP_INTERVAL_MS = 2000;
const RESTART_AFTER_MS = 6000;
const CHECK_INTERVAL_MS = 50;

const clock = new SystemClock();

describe('entries that are stopped', () => {
	let fleet: EntryFleet;

	beforeEach(async () => {
		fleet = new EntryFleet({ips: IPS});
		await fleet.start();
	});

	afterEach(async () => fleet.close());

	describe('one after the other, so that the last one is stopped before the first one is back', () => {
		it('leave no moment without one that is ready and takes connections', async () => {
			const startedAt = clock.monotonic();
			const at = async (ms: number): Promise<void> => clock.sleep(Math.max(0, startedAt + ms - clock.monotonic()));
			const roll = async (ip: string, stopMs: number): Promise<void> => {
				await at(stopMs);
				fleet.stop(ip);
				await at(stopMs + RESTART_AFTER_MS);
				if (stopMs < STOP_INTERVAL_MS * 2) {
					await fleet.kill(ip);
					await fleet.startEntry(ip);
				}
			};

			const samples: Sample[] = [];
			const rolling = Promise.all(IPS.map(async (ip, index) => roll(ip, index * STOP_INTERVAL_MS)));
			const endMs = STOP_INTERVAL_MS + RESTART_AFTER_MS + 500;
			while (clock.monotonic() - startedAt < endMs) {
				samples.push(await fleet.sample(Math.round(clock.monotonic() - startedAt)));
				await clock.sleep(CHECK_INTERVAL_MS);
			}

			await rolling;
			expect(samples.filter(({accepting}) => accepting === 0)).to.deep.equal([]);
			expect(samples.filter(({ready}) => ready === 0)).to.deep.equal([]);
		}).timeout(30_000);
	});

	describe('at the same time', () => {
		it('all leave at once', async () => {
			for (const ip of IPS) {
				fleet.stop(ip);
			}

			await clock.sleep(1500);
			const {ready, accepting} = await fleet.sample(1500);
			expect({ready, accepting}).to.deep.equal({ready: 0, accepting: IPS.length});
		});
	});
});
