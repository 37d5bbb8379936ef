import {expect} from 'chai';
import fc from 'fast-check';
import {seededRandom} from '@yuccawood/common';
import {announcementTargets} from './announcement-targets.js';

describe('announcementTargets', () => {
	it('reach every process from any starting process', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 150}), fc.nat(), (count, seed) => {
			const random = seededRandom(seed);
			const peers = Array.from({length: count}, (_, i) => ({id: `vm-${i}`}));
			const notified = new Set([`vm-${random.nextInteger(count)}`]);
			for (const id of notified) {
				for (const target of announcementTargets(id, peers.filter(peer => peer.id !== id), random)) {
					notified.add(target.id);
				}
			}

			expect(notified.size).to.equal(count);
		}), {seed: 5, numRuns: 200});
	});
});
