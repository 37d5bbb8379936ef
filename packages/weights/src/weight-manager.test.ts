import {expect} from 'chai';
import {createVersion, eventually, TestFleet} from './fleet-fixture.test.js';

describe('WeightManager', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet({releaseAfterMs: 100});
	});

	afterEach(async () => {
		await fleet.close();
	});

	it('brings a version to all agents with one read of each chunk at the origin', async () => {
		await fleet.addMany(8);
		const version = createVersion({count: 40});
		fleet.publish(version);
		fleet.configuration.set([version]);
		await eventually(() => fleet.isServedByAll(version), 'all agents serve the version');
		expect(fleet.origin.readsOf(version)).to.equal(40);
		expect(fleet.origin.reads.get(version.hash)).to.equal(1);
	});
});
