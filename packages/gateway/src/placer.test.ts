import {MemoryMetrics, seededRandom, SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {Placer, scheduleTimer, type PlacementRequest} from './placer.js';

const SERVICE = 's';

/** Requests that got a slot at once, as in some hours of calm, and the time that a decision may take after them in milliseconds. */
const CALM_REQUESTS = 300_000;
const MAX_DECISION_MS = 100;

const NEED = {localDomain: 'z', excluded: new Set(), preferred: undefined} as unknown as ReturnType<PlacementRequest['need']>;

describe('Placer', () => {
	it('decides at once about the first request that has to wait after a long calm, which had made an entry stand still', async () => {
		const clock = new SystemClock();
		const placer = new Placer({
			states: {viewsOf: () => [], find: () => undefined}, clock: {monotonic: clock.monotonic, schedule: scheduleTimer}, random: seededRandom(1), metrics: new MemoryMetrics(),
		});
		for (let request = 0; request < CALM_REQUESTS; request++) {
			placer.recordFreedSlot(SERVICE);
		}

		await clock.sleep(2500);
		const now = clock.monotonic();
		const placed = await placer.place({
			service: SERVICE, account: 'a', priority: 1, goalAt: now + 1000, deadlineAt: now + 2000, returnRecognizedAt: now, signal: new AbortController().signal,
			need: () => NEED,
		});
		expect(clock.monotonic() - now).to.be.below(MAX_DECISION_MS);
		expect(placed.kind).to.equal('rejected');
	});
});
