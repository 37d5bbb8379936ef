import {MemoryMetrics, SILENT_LOG, SystemClock} from '@yuccawood/common';
import {FleetView, type Upstream} from '@yuccawood/fleet';
import {expect} from 'chai';
import {assumedEntryCount, UpstreamStates} from './upstream-states.js';

describe('assumedEntryCount', () => {
	it('assumes several entries while no other one is known, which limits budgets after a restart without the store', () => {
		expect(assumedEntryCount({entries: new Map()})).to.be.greaterThan(4);
		expect(assumedEntryCount({entries: new Map([['self', 'a']])})).to.be.greaterThan(4);
	});

	it('counts the listed entries', () => {
		expect(assumedEntryCount({entries: new Map([['self', 'a'], ['other', 'b'], ['third', 'c']])})).to.equal(3);
	});
});

describe('UpstreamStates', () => {
	describe('with an upstream that no connections can be made for', () => {
		let metrics: MemoryMetrics;
		let view: FleetView;
		let states: UpstreamStates;

		const list = (id: string, address: string): void => {
			const upstream: Upstream = {
				key: id, id, service: 's', address, failureDomain: 'z', slots: 1, state: 'ready', startedAt: 1, model: undefined,
			};
			view.apply({kind: 'upstream', id, upstream}, {revision: 1, mayBeLeaseExpiry: false});
		};

		const idsInUse = (): readonly string[] => states.of('s').map(({upstream}) => upstream.id);

		beforeEach(() => {
			const clock = new SystemClock();
			metrics = new MemoryMetrics();
			view = new FleetView({clock, log: SILENT_LOG});
			states = new UpstreamStates({
				view, selfId: 'self', clock, log: SILENT_LOG, metrics,
			});
			list('first', '127.0.0.1:1');
			states.refresh();
			list('odd', '127.0.0.1:99999');
			list('last', '127.0.0.1:2');
		});

		afterEach(() => {
			states.close();
			view.close();
		});

		it('uses the others, also those that are listed later', () => {
			states.refresh();
			expect(idsInUse()).to.deep.equal(['first', 'last']);
			list('later', '127.0.0.1:3');
			states.refresh();
			expect(idsInUse()).to.deep.equal(['first', 'last', 'later']);
			expect(states.atAddress('127.0.0.1:3')?.upstream.id).to.equal('later');
		});

		it('counts it', () => {
			states.refresh();
			expect(metrics.counters.get('gateway.unusable_upstreams')).to.equal(1);
		});

		it('uses it once its address is right', () => {
			states.refresh();
			list('odd', '127.0.0.1:4');
			states.refresh();
			expect(idsInUse()).to.deep.equal(['first', 'odd', 'last']);
		});
	});
});
