import {expect} from 'chai';
import fc from 'fast-check';
import {sha256} from '@yuccawood/common';
import type {MemberRecord, ServedVersion} from '@yuccawood/membership';
import {
	listParticipants, parentPosition, planSource, treeKeyOf, type Plan, type TreeKey,
} from './fetch-plan.js';

const recordOf = (id: string, region: string, upstream: {readonly served?: readonly ServedVersion[]; readonly held?: readonly string[]} = {}): MemberRecord => ({
	id, role: 'agent', address: `${id}:1`, region, failureDomain: region, incarnation: 1, sequence: 1, status: 'alive', revision: 1,
	upstream: {
		kind: 'engine', service: 'kit', ready: true, capacity: 1, served: [], held: [], ...upstream,
	},
});

const planFor = (self: MemberRecord, participants: readonly MemberRecord[], tree: TreeKey, avoided: ReadonlySet<string> = new Set()): Plan => planSource({
	tree, manifest: 'm', selfId: self.id, region: self.region, storeRegion: 'west', participants, isAvoided: id => avoided.has(id),
});

const fleets = fc.record({
	west: fc.integer({min: 1, max: 40}), south: fc.integer({min: 0, max: 40}), chunk: fc.string(), isReversed: fc.boolean(),
}).map(({west, south, chunk, isReversed}) => ({
	tree: {key: sha256(chunk), isReversed},
	members: [
		...Array.from({length: west}, (_, index) => recordOf(`west-${index}`, 'west')),
		...Array.from({length: south}, (_, index) => recordOf(`south-${index}`, 'south')),
	],
}));

describe('planSource', () => {
	it('connects every member to the origin by a chain of logarithmic length, with one fetch from the origin and one copy across each region boundary', () => {
		fc.assert(fc.property(fleets, ({members, tree}) => {
			const plans = new Map(members.map(member => [member.id, planFor(member, members, tree)]));
			for (const {id} of members) {
				let steps = 0;
				for (let {source} = plans.get(id)!; source.kind === 'peer'; source = plans.get(source.id)!.source) {
					steps++;
					expect(steps).to.be.at.most(2 * (Math.log2(members.length) + 1));
				}
			}

			const sources = [...plans.values()].map(({source}) => source);
			expect(sources.filter(({kind}) => kind === 'origin')).to.have.length(1);
			const crossings = sources.filter(source => source.kind === 'peer' && source.isCrossRegion);
			expect(crossings).to.have.length(members.some(({region}) => region === 'south') ? 1 : 0);
		}), {seed: 1});
	});

	it('still connects every member to the origin when all avoid the same members', () => {
		fc.assert(fc.property(fleets, fc.nat(), ({members, tree}, mask) => {
			const avoided = new Set(members.filter((_, index) => (mask >> (index % 30)) % 2 === 1).map(({id}) => id)); // eslint-disable-line no-bitwise
			for (const member of members) {
				let {source} = planFor(member, members, tree, avoided);
				for (let steps = 0; source.kind === 'peer'; steps++) {
					expect(avoided.has(source.id)).to.equal(false);
					expect(steps).to.be.below(20);
					const {id} = source;
					({source} = planFor(members.find(other => other.id === id)!, members, tree, avoided));
				}
			}
		}), {seed: 2});
	});

	it('spreads uploads more evenly with paired trees than with independent ones', () => {
		const members = Array.from({length: 32}, (_, index) => recordOf(`west-${index}`, 'west'));
		const chunks = Array.from({length: 64}, (_, index) => sha256(`chunk ${index}`));
		const countUploads = (keyOf: (index: number) => TreeKey): ReadonlyMap<string, number> => {
			const uploads = new Map<string, number>();
			for (const index of chunks.keys()) {
				for (const member of members) {
					const {source} = planFor(member, members, keyOf(index));
					const key = source.kind === 'peer' ? source.id : 'origin';
					uploads.set(key, (uploads.get(key) ?? 0) + 1);
				}
			}

			return uploads;
		};

		const paired = countUploads(index => treeKeyOf(chunks, index));
		expect(paired.get('origin')).to.equal(64);
		for (const {id} of members) {
			expect(paired.get(id)).to.be.within(54, 64);
		}

		const independent = countUploads(index => ({key: chunks[index], isReversed: false}));
		expect(Math.max(...members.map(({id}) => independent.get(id) ?? 0))).to.be.above(70);
	});

	it('asks a member that holds the version before the origin', () => {
		const members = [recordOf('west-0', 'west'), recordOf('west-1', 'west', {held: ['m']}), recordOf('west-2', 'west', {held: ['m']})];
		for (const key of ['a', 'b', 'c', 'd'].map(text => sha256(text))) {
			expect(planFor(members[0], members, {key, isReversed: false}).source.kind).to.equal('peer');
		}
	});
});

describe('listParticipants', () => {
	it('omits members that can neither send nor fetch the version', () => {
		const served = [{
			name: 'kit', version: 'v1', manifest: 'm', kind: 'model',
		}] as const;
		const members: readonly MemberRecord[] = [
			recordOf('self', 'west', {served}),
			recordOf('holder', 'west', {served, held: ['m']}),
			recordOf('restarted', 'west', {served}),
			{...recordOf('dead', 'west'), status: 'suspect'},
			{...recordOf('entry', 'west'), role: 'entry'},
		];
		expect(listParticipants(members, {selfId: 'self', service: 'kit', manifest: 'm'}).map(({id}) => id)).to.deep.equal(['self', 'holder']);
	});
});

describe('parentPosition', () => {
	it('gives each position at most two children', () => {
		const parents = Array.from({length: 100}, (_, position) => parentPosition(position));
		expect(parents.slice(0, 7)).to.deep.equal([undefined, 0, 0, 1, 1, 2, 2]);
	});
});
