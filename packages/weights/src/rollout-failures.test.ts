import {delay} from '@yuccawood/common';
import {expect} from 'chai';
import {createVersion, eventually, TestFleet} from './fleet-fixture.test.js';

describe('WeightManager under failures', function () {
	this.timeout(30_000);
	let fleet: TestFleet;

	/** Limits the origin to a rate at which a version of 24 chunks of 20 kB takes about a second. */
	const limitOriginRate = (): void => {
		fleet.origin.setFaults({slowBytesPerSecond: 500_000});
	};

	beforeEach(() => {
		fleet = new TestFleet({releaseAfterMs: 200});
	});

	afterEach(async () => {
		await fleet.close();
	});

	describe('failures of VMs, links and the origin', () => {
		it('completes on the other agents when VMs are killed during the transfer', async () => {
			await fleet.addMany(8);
			limitOriginRate();
			const version = createVersion();
			fleet.rollOut([version]);
			await eventually(() => fleet.originCopies(version) > 0.3, 'the transfer is in progress');
			await fleet.agents[2].kill();
			await fleet.agents[5].kill();
			await fleet.untilServed(version);
			expect(fleet.originCopies(version)).to.be.below(1.5);
		});

		it('avoids a peer whose link stalls', async () => {
			await fleet.addMany(5);
			limitOriginRate();
			const version = createVersion();
			fleet.rollOut([version]);
			await eventually(() => fleet.originCopies(version) > 0.2, 'the transfer is in progress');
			fleet.setLink('west-1', 'west', 'stalled');
			await fleet.untilServed(version, 25_000);
			expect(fleet.originCopies(version)).to.be.below(2);
		});

		it('waits while the origin is stopped, and retries truncated and corrupt chunks from it', async () => {
			await fleet.addMany(4);
			const version = createVersion({count: 60});
			fleet.origin.setFaults({slowBytesPerSecond: 500_000, cutChunks: 3, corruptChunks: 3});
			fleet.rollOut([version]);
			await eventually(() => fleet.originCopies(version) > 0.2, 'the transfer is in progress');
			fleet.origin.setFaults({isStopped: true});

			// Data that was already queued on the link still arrives.
			await delay(500);
			const copies = fleet.originCopies(version);
			await delay(300);
			expect(fleet.originCopies(version)).to.equal(copies);
			expect(fleet.agents.every(({manager}) => manager.serving.length === 0)).to.equal(true);
			fleet.origin.setFaults({isStopped: false});
			await fleet.untilServed(version);
			expect(fleet.mismatches).to.equal(0);
		});

		it('resumes after a region was disconnected', async () => {
			await fleet.addMany(3);
			await fleet.addMany(3, {region: 'south'});
			const remoteIds = ['west-0', 'west-1', 'west-2', 'origin'];
			for (const id of remoteIds) {
				fleet.setLink(id, 'south', 'cut');
			}

			const version = createVersion();
			fleet.rollOut([version]);
			const localAgents = fleet.agents.filter(({id}) => id.startsWith('west'));
			await eventually(() => localAgents.every(({manager}) => manager.serving.length === 1), 'the region of the origin serves the version');
			expect(fleet.isServedByAll(version)).to.equal(false);
			for (const id of remoteIds) {
				fleet.setLink(id, 'south', 'open');
			}

			await fleet.untilServed(version, 25_000);
		});
	});
});
