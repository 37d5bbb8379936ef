import {
	MemoryMetrics, SILENT_LOG, SystemClock, type Log,
} from '@yuccawood/common';
import {expect} from 'chai';
import type {FleetChange} from './fleet-changes.js';
import {FleetView} from './fleet-view.js';

describe('FleetView', () => {
	describe('with a listener that throws', () => {
		let metrics: MemoryMetrics;
		let errors: unknown[];
		let view: FleetView;
		let told: FleetChange[];

		beforeEach(() => {
			metrics = new MemoryMetrics();
			errors = [];
			const log: Log = {
				...SILENT_LOG, part: () => log, error(_message, fields) {
					errors.push(fields);
				},
			};
			view = new FleetView({clock: new SystemClock(), log, metrics});
			told = [];
			view.onChange(() => {
				throw new Error('no room');
			});
			view.onChange(change => {
				told.push(change);
			});
			view.apply({kind: 'target', model: 'm', version: 1}, {revision: 1, mayBeLeaseExpiry: false});
			view.apply({kind: 'entry', id: 'e', address: '10.0.0.1:1'}, {revision: 2, mayBeLeaseExpiry: false});
		});

		it('tells the other listeners of each change', () => {
			expect(told).to.deep.equal(['targets', 'entries']);
			expect(view.entries.get('e')).to.equal('10.0.0.1:1');
		});

		it('counts each failure and logs its reason', () => {
			expect(metrics.counters.get('fleet.listener_failures,change=targets')).to.equal(1);
			expect(metrics.counters.get('fleet.listener_failures,change=entries')).to.equal(1);
			expect(JSON.stringify(errors)).to.include('no room');
		});
	});
});
