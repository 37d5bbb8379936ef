import {expect} from 'chai';
import fc from 'fast-check';
import {seededRandom} from '@yuccawood/common';
import {announcementTargets} from './announcement-targets.js';

describe('announcementTargets', () => {
	it('leave no live process untold, whoever begins', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 150}), fc.nat(), (count, seed) => {
			const random = seededRandom(seed);
			const peers = Array.from({length: count}, (_, i) => ({id: `vm-${i}`}));
			const told = new Set([`vm-${random.below(count)}`]);
			for (const id of told) {
				for (const target of announcementTargets(id, peers.filter(peer => peer.id !== id), random)) {
					told.add(target.id);
				}
			}

			expect(told.size).to.equal(count);
		}), {seed: 5, numRuns: 200});
	});
});
