import {expect} from 'chai';
import fc from 'fast-check';
import {sha256} from '@yuccawood/common';
import type {MemberRecord, ServedVersion} from '@yuccawood/membership';
import {
	listParticipants, parentPosition, planSource, type Plan,
} from './fetch-plan.js';

const recordOf = (id: string, region: string, upstream: {readonly served?: readonly ServedVersion[]; readonly held?: readonly string[]} = {}): MemberRecord => ({
	id, role: 'agent', address: `${id}:1`, region, failureDomain: region, incarnation: 1, sequence: 1, status: 'alive', revision: 1,
	upstream: {
		kind: 'engine', service: 'kit', ready: true, capacity: 1, served: [], held: [], ...upstream,
	},
});

const planFor = (self: MemberRecord, participants: readonly MemberRecord[], chunk: string, avoided: ReadonlySet<string> = new Set()): Plan => planSource({
	chunk, manifest: 'm', selfId: self.id, region: self.region, storeRegion: 'west', participants, isAvoided: id => avoided.has(id), originReaders: 1,
});

const fleets = fc.record({
	west: fc.integer({min: 1, max: 40}), south: fc.integer({min: 0, max: 40}), chunk: fc.string(),
}).map(({west, south, chunk}) => ({
	chunk: sha256(chunk),
	members: [
		...Array.from({length: west}, (_, index) => recordOf(`west-${index}`, 'west')),
		...Array.from({length: south}, (_, index) => recordOf(`south-${index}`, 'south')),
	],
}));

describe('planSource', () => {
	it('leads every member to the origin over a chain of logarithmic length with one read and one copy across each boundary', () => {
		fc.assert(fc.property(fleets, ({members, chunk}) => {
			const plans = new Map(members.map(member => [member.id, planFor(member, members, chunk)]));
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

	it('leaves a chain to the origin when any members are avoided by all', () => {
		fc.assert(fc.property(fleets, fc.nat(), ({members, chunk}, mask) => {
			const avoided = new Set(members.filter((_, index) => (mask >> (index % 30)) % 2 === 1).map(({id}) => id)); // eslint-disable-line no-bitwise
			for (const member of members) {
				let {source} = planFor(member, members, chunk, avoided);
				for (let steps = 0; source.kind === 'peer'; steps++) {
					expect(avoided.has(source.id)).to.equal(false);
					expect(steps).to.be.below(20);
					const {id} = source;
					({source} = planFor(members.find(other => other.id === id)!, members, chunk, avoided));
				}
			}
		}), {seed: 2});
	});

	it('spreads the uploads evenly, which one fixed tree would not', () => {
		const members = Array.from({length: 32}, (_, index) => recordOf(`west-${index}`, 'west'));
		const uploads = new Map<string, number>();
		const chunks = Array.from({length: 512}, (_, index) => sha256(`chunk ${index}`));
		for (const chunk of chunks) {
			for (const member of members) {
				const {source} = planFor(member, members, chunk);
				const key = source.kind === 'peer' ? source.id : 'origin';
				uploads.set(key, (uploads.get(key) ?? 0) + 1);
			}
		}

		expect(uploads.get('origin')).to.equal(512);
		for (const {id} of members) {
			expect(uploads.get(id)).to.be.within(512 * 0.75, 512 * 1.25);
		}
	});

	it('asks a member that holds the version before the origin', () => {
		const members = [recordOf('west-0', 'west'), recordOf('west-1', 'west', {held: ['m']}), recordOf('west-2', 'west', {held: ['m']})];
		for (const chunk of ['a', 'b', 'c', 'd'].map(text => sha256(text))) {
			expect(planFor(members[0], members, chunk).source.kind).to.equal('peer');
		}
	});
});

describe('listParticipants', () => {
	it('leaves out members that cannot send the version and need not fetch it', () => {
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
