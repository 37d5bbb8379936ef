import {SILENT_LOG, SystemClock} from '@yuccawood/common';
import {FleetView, type Announcement, type Upstream} from '@yuccawood/fleet';
import {expect} from 'chai';
import {isStartListed, ListedMembers} from './listed-members.js';

const ADDRESS = '10.0.0.1:8000';
const upstreamStartedAt = (startedAt: number): Upstream => ({
	key: `i-${startedAt}`, id: `i-${startedAt}`, service: 'pool', address: ADDRESS, failureDomain: 'a', slots: 1, state: 'ready', startedAt, model: undefined,
});

describe('isStartListed', () => {
	it('finds the new process of a restarted engine while the old one is still listed', () => {
		expect(isStartListed([upstreamStartedAt(1), upstreamStartedAt(2)], {address: ADDRESS, startedAt: 2})).to.equal(true);
	});

	it('does not accept the entry of an earlier process', () => {
		expect(isStartListed([upstreamStartedAt(1)], {address: ADDRESS, startedAt: 2})).to.equal(false);
	});

	it('accepts any entry while the engine reports no start time', () => {
		expect(isStartListed([upstreamStartedAt(1)], {address: ADDRESS, startedAt: undefined})).to.equal(true);
		expect(isStartListed([], {address: ADDRESS, startedAt: undefined})).to.equal(false);
	});
});

describe('ListedMembers', () => {
	const start = (id: string, version: number): Announcement => ({
		kind: 'upstream', id, upstream: {
			...upstreamStartedAt(1), id, key: id, address: `10.0.0.${id}:8000`, model: {name: 'm', version},
		},
	});

	it('contains a restarted engine once while its earlier process is still listed', () => {
		const view = new FleetView({clock: new SystemClock(), log: SILENT_LOG});
		const members = new ListedMembers({
			view, selfId: '10.0.0.1:7700', region: 'r', failureDomain: 'a', service: 'pool', regions: new Map([['a', 'r']]),
			peerAddress: ip => `${ip}:7700`, manifestHash: () => undefined,
		});
		for (const [id, startedAt] of [['b', 2], ['a', 1]] as const) {
			view.apply({
				kind: 'upstream', id, upstream: {
					...upstreamStartedAt(startedAt), id, key: id, model: startedAt === 1 ? {name: 'm', version: 1} : undefined,
				},
			}, {revision: startedAt, mayBeLeaseExpiry: false});
		}

		expect(members.members.map(({upstream}) => upstream?.served.length)).to.deep.equal([0]);
	});

	it('updates the cached members when the list changes or a manifest becomes known', () => {
		const view = new FleetView({clock: new SystemClock(), log: SILENT_LOG});
		const hashes = new Map<number, string>();
		const members = new ListedMembers({
			view, selfId: '10.0.0.1:7700', region: 'r', failureDomain: 'a', service: 'pool', regions: new Map([['a', 'r']]),
			peerAddress: ip => `${ip}:7700`, manifestHash: version => hashes.get(version),
		});
		view.apply(start('1', 1), {revision: 1, mayBeLeaseExpiry: false});
		expect(members.members).to.equal(members.members);
		expect(members.find('10.0.0.2:7700')).to.equal(undefined);
		view.apply(start('2', 1), {revision: 2, mayBeLeaseExpiry: false});
		expect(members.find('10.0.0.2:7700')?.upstream?.held).to.deep.equal([]);
		hashes.set(1, 'hash');
		expect(members.find('10.0.0.2:7700')?.upstream?.held).to.deep.equal(['hash']);
	});
});
