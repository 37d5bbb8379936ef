import type {MemberRecord} from '@yuccawood/membership';
import {expect} from 'chai';
import {assignRelays, StarPlanner} from './star-plan.js';

const MANIFEST = 'manifest';
const chunks = Array.from({length: 48}, (_, index) => `chunk-${index}`);

const member = (id: string, region: string, isHolder = false): MemberRecord => ({
	id, role: 'agent', address: id, region, failureDomain: region, incarnation: 1, sequence: 0, status: 'alive', revision: 0,
	upstream: {
		kind: 'engine', service: 's', ready: true, capacity: 1, served: [], held: isHolder ? [MANIFEST] : [],
	},
});

const fleet = (sizes: Readonly<Record<string, number>>, holders: readonly string[] = []): readonly MemberRecord[] => Object.entries(sizes)
	.flatMap(([region, size]) => Array.from({length: size}, (_, index) => member(`${region}-${index}`, region, holders.includes(`${region}-${index}`))));

/** Number of chunks that each source sends when every member without the version fetches all chunks. */
const countUploads = (participants: readonly MemberRecord[], storeRegion: string): ReadonlyMap<string, number> => {
	const planner = new StarPlanner();
	const counts = new Map<string, number>();
	for (const {id, region, upstream} of participants) {
		if (upstream!.held.includes(MANIFEST)) {
			continue;
		}

		for (const index of chunks.keys()) {
			const {source} = planner.plan({
				index, chunks, manifest: MANIFEST, selfId: id, region, storeRegion, participants, isAvoided: () => false, tree: {key: chunks[index], isReversed: false},
			});
			const sender = source.kind === 'origin' ? 'origin' : source.id;
			counts.set(sender, (counts.get(sender) ?? 0) + 1);
		}
	}

	return counts;
};

describe('StarPlanner', () => {
	describe('a rollout to all members', () => {
		it('fetches each chunk from the origin once, and no member uploads much more than one copy', () => {
			const counts = countUploads(fleet({east: 8, north: 6, west: 6}), 'east');
			expect(counts.get('origin')).to.equal(48);
			const most = Math.max(...[...counts].filter(([id]) => id !== 'origin').map(([, count]) => count));
			expect(most).to.be.at.most(48 * 1.35);
		});

		it('assigns each member about the same number of chunks to relay', () => {
			const counts = new Map<string, number>();
			for (const relay of assignRelays(chunks, ['a', 'b', 'c', 'd', 'e', 'f', 'g'])) {
				counts.set(relay, (counts.get(relay) ?? 0) + 1);
			}

			expect(Math.max(...counts.values())).to.be.at.most(7);
		});
	});

	describe('members that already hold the version', () => {
		it('serve new members without the origin', () => {
			const counts = countUploads(fleet({east: 6}, ['east-0', 'east-1', 'east-2', 'east-3']), 'east');
			expect([...counts.keys()].sort()).to.deep.equal(['east-0', 'east-1', 'east-2', 'east-3']);
		});

		it('do not send all copies when they are few, as after a power failure', () => {
			const counts = countUploads(fleet({east: 8}, ['east-0']), 'east');
			expect(counts.get('east-0')).to.be.at.most(48 * 2);
			expect(counts.get('origin') ?? 0).to.be.at.most(48);
		});
	});

	describe('a region that does not answer', () => {
		const sourceOf = (avoided: readonly string[]) => new StarPlanner().plan({
			index: 0, chunks, manifest: MANIFEST, selfId: 'west-0', region: 'west', storeRegion: 'east', participants: [...fleet({east: 6, north: 8}), member('west-0', 'west')],
			isAvoided: id => avoided.includes(id), tree: {key: chunks[0], isReversed: false},
		}).source;
		const idOf = (avoided: readonly string[]): string => {
			const source = sourceOf(avoided);
			return source.kind === 'peer' ? source.id : source.kind;
		};

		it('is skipped after two of its members have failed', () => {
			const first = idOf([]);
			expect(first).to.match(/^north/);
			const second = idOf([first]);
			expect(second).to.match(/^north/);
			expect(idOf([first, second])).to.match(/^east/);
		});

		it('is replaced by the origin when no previous region answers', () => {
			expect(idOf(['north-0', 'north-1', 'east-0', 'east-1'])).to.equal('origin');
		});
	});
});
