import type {MemberRecord} from '@yuccawood/membership';
import {expect} from 'chai';
import {canSwitch} from './switch-order.js';

const recordOf = (id: string, manifests: readonly string[]): MemberRecord => ({
	id, role: 'agent', address: id, region: 'west', failureDomain: 'west', incarnation: 1, sequence: 1, status: 'alive', revision: 1,
	upstream: {
		kind: 'engine', service: 'kit', ready: true, capacity: 1, held: [], served: manifests.map(manifest => ({
			name: 'kit', version: manifest, manifest, kind: 'model',
		})),
	},
});

const listAllowed = (members: readonly MemberRecord[], maxSwitchingShare: number): readonly string[] => members
	.filter(({id}) => canSwitch({
		members, selfId: id, service: 'kit', name: 'kit', manifest: 'new', maxSwitchingShare,
	}))
	.map(({id}) => id);

describe('maySwitch', () => {
	const ids = Array.from({length: 16}, (_, index) => `vm-${index}`);

	it('limits the members that switch at the same time to the share, until all have switched', () => {
		let members = ids.map(id => recordOf(id, ['old']));
		for (let round = 0; round < 4; round++) {
			const pending = new Set(members.filter(({upstream}) => upstream!.served[0].manifest === 'old').map(({id}) => id));
			const next = listAllowed(members, 0.25).filter(id => pending.has(id));
			expect(next).to.have.length(4);
			members = members.map(member => next.includes(member.id) ? recordOf(member.id, ['new']) : member);
		}

		expect(members.every(({upstream}) => upstream!.served[0].manifest === 'new')).to.equal(true);
	});

	it('always allows one member, and does not wait for members that serve nothing', () => {
		expect(listAllowed(ids.map(id => recordOf(id, ['old'])), 0.01)).to.have.length(1);
		expect(listAllowed(ids.map(id => recordOf(id, [])), 0.01)).to.have.length(16);
	});
});
