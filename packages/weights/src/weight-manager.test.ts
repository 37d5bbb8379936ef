import {Err, Ok} from '@yuccawood/common';
import {expect} from 'chai';
import {createVersion, eventually, TestFleet} from './fleet-fixture.test.js';

describe('WeightManager', function () {
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

	describe('distribution', () => {
		it('fetches each chunk and the manifest from the origin once for all agents', async () => {
			await fleet.addMany(8);
			const version = createVersion({count: 40});
			fleet.rollOut([version]);
			await fleet.untilServed(version);
			expect(fleet.originCopies(version)).to.equal(1);
			expect(fleet.origin.counters.manifest).to.equal(1);
		});

		it('transfers each chunk to another region once', async () => {
			await fleet.addMany(4);
			await fleet.addMany(4, {region: 'south'});
			const version = createVersion();
			fleet.rollOut([version]);
			await fleet.untilServed(version);
			const crossRegionBytes = fleet.agents.reduce((sum, {metrics}) => sum + (metrics.counters.get('weights.peer_bytes,crossRegion=true') ?? 0), 0);
			expect(crossRegionBytes).to.equal((24 * 20_000) - 7);
			expect(fleet.originCopies(version)).to.equal(1);
		});

		it('transfers a version to an agent that joins late from its peers, not from the origin', async () => {
			await fleet.addMany(4);
			const version = createVersion();
			fleet.rollOut([version]);
			await fleet.untilServed(version);
			await fleet.add('late');
			await fleet.untilServed(version);
			expect(fleet.originCopies(version)).to.equal(1);
		});

		it('transfers only the chunks that the old version does not contain', async () => {
			await fleet.addMany(3);
			const old = createVersion({sharedChunks: 20});
			fleet.rollOut([old]);
			await fleet.untilServed(old);
			const next = createVersion({version: 'v2', sharedChunks: 20});
			fleet.rollOut([next]);
			await fleet.untilServed(next);
			expect(fleet.origin.counters.chunk).to.equal(28);
		});

		it('rolls out an adapter together with the model that it extends', async () => {
			await fleet.addMany(3);
			const model = createVersion();
			const adapter = createVersion({
				name: 'warranty', kind: 'adapter', base: 'kit', count: 4,
			});
			fleet.rollOut([model, adapter, createVersion({name: 'other-model'})]);
			await fleet.untilServed(model);
			await fleet.untilServed(adapter);
			expect(fleet.agents[0].manager.serving).to.have.length(2);
		});
	});

	describe('changes of the configuration', () => {
		it('activates only the last version when the target version changes during a transfer', async () => {
			await fleet.addMany(4);
			const [first, second, third] = ['v1', 'v2', 'v3'].map(version => createVersion({version}));
			fleet.rollOut([first]);
			await fleet.untilServed(first);
			limitOriginRate();
			fleet.rollOut([second]);
			await eventually(() => fleet.originCopies(second) > 0.2, 'the second version is in transfer');
			fleet.rollOut([third]);
			await fleet.untilServed(third);
			const activated = new Set(fleet.agents.flatMap(({engine}) => engine.log.filter(({event}) => event === 'activate').map(({manifest}) => manifest)));
			expect([...activated]).to.have.members([first.hash, third.hash]);
			expect(fleet.originCopies(second)).to.be.below(1);
		});

		it('keeps serving the old version while the new manifest is truncated or its hash is wrong', async () => {
			await fleet.addMany(2);
			const old = createVersion();
			fleet.rollOut([old]);
			await fleet.untilServed(old);
			const next = createVersion({version: 'v2'});
			fleet.origin.add(next);
			fleet.configuration.set([{...next, hash: 'f'.repeat(64)}]);
			await eventually(() => fleet.origin.log.filter(({event}) => event === 'missing').length > 1, 'the wrong hash was requested twice');
			expect(fleet.isServedByAll(old)).to.equal(true);
			fleet.origin.setFaults({truncateManifests: 2});
			fleet.configuration.set([next]);
			await fleet.untilServed(next);
		});

		it('stops serving a version that was removed from the configuration', async () => {
			const agent = await fleet.add('one');
			const version = createVersion();
			fleet.rollOut([version]);
			await fleet.untilServed(version);
			fleet.configuration.set([]);
			await eventually(() => agent.manager.serving.length === 0, 'nothing is served');
		});

		it('unloads a replaced version and releases its chunks after the release delay', async () => {
			const agent = await fleet.add('one');
			const old = createVersion();
			const next = createVersion({version: 'v2', count: 2});
			fleet.rollOut([old]);
			await fleet.untilServed(old);
			fleet.rollOut([next]);
			await eventually(() => agent.engine.versions.length === 1 && agent.manager.status.reservedBytes === 39_993, 'only the new version is left');
		});
	});

	describe('engine and lease', () => {
		it('serves nothing after an engine restart until the version is reloaded from the chunk store of the agent', async () => {
			const agent = await fleet.add('one');
			const version = createVersion();
			fleet.rollOut([version]);
			await fleet.untilServed(version);
			agent.engine.setFaults({downMs: 300});
			await eventually(() => agent.manager.serving.length === 0, 'nothing is served');
			await fleet.untilServed(version);
			expect(fleet.originCopies(version)).to.equal(1);
		});

		it('sends chunks again that the engine lost in a restart during the transfer', async () => {
			const agent = await fleet.add('one');
			limitOriginRate();
			const version = createVersion();
			fleet.rollOut([version]);
			await eventually(() => fleet.originCopies(version) > 0.5, 'half of the chunks are transferred');
			agent.engine.setFaults({downMs: 50});
			await fleet.untilServed(version);
			expect(fleet.originCopies(version)).to.equal(1);
		});

		it('continues a load after a restart of the agent, and keeps serving the active version', async () => {
			const first = await fleet.add('one', {engineOptions: {loadMs: 300}});
			const old = createVersion();
			fleet.rollOut([old]);
			await fleet.untilServed(old);
			const next = createVersion({version: 'v2'});
			fleet.rollOut([next]);
			await eventually(() => first.manager.status.held.includes(next.hash), 'all chunks are held');
			await first.kill({keepsEngine: true});
			const second = await fleet.add('one', {engine: first.engine});
			await eventually(() => second.manager.serving.some(({manifest}) => manifest === old.hash), 'the old version is served');
			await fleet.untilServed(next);
		});

		const checkExpiredLease = async (checksFencing: boolean): Promise<void> => {
			const agent = await fleet.add('one', {engineOptions: {checksFencing}});
			const version = createVersion();
			agent.state.fencing = Err({message: 'The lease has expired.'});
			fleet.rollOut([version]);
			await eventually(() => (agent.metrics.counters.get('weights.rollout_failures,kind=no-fencing') ?? 0) > 0, 'a command was not sent');
			expect(agent.engine.log.filter(({event}) => event === 'load' || event === 'activate')).to.have.length(0);
			agent.state.fencing = Ok(2);
			await fleet.untilServed(version);
		};

		it('sends no command without a lease to an engine that checks fencing numbers', async () => checkExpiredLease(true));

		it('sends no command without a lease to an engine that ignores fencing numbers', async () => checkExpiredLease(false));

		it('activates a version only once it holds a current fencing number', async () => {
			const agent = await fleet.add('one');
			const [old, next] = ['v1', 'v2'].map(version => createVersion({version}));
			agent.state.fencing = Ok(5);
			fleet.rollOut([old]);
			await fleet.untilServed(old);
			agent.state.fencing = Ok(4);
			fleet.rollOut([next]);
			await eventually(() => agent.engine.log.some(({refused}) => refused === 'stale-fencing'), 'a command was refused');
			expect(fleet.isServedByAll(old)).to.equal(true);
			agent.state.fencing = Ok(6);
			await fleet.untilServed(next);
		});
	});
});
