import {
	MemoryMetrics, seededRandom, sha256, SILENT_LOG,
} from '@yuccawood/common';
import type {AccountConfiguration, ConfigurationSource} from '@yuccawood/configuration';
import {VirtualNetwork, type VirtualTime, GossipCluster} from '@yuccawood/membership/testing';
import {expect} from 'chai';
import {empty, type Stream} from 'most';
import {AccountAdmission} from './account-admission.js';
import type {AccountAdmissionOptions} from './admission-options.js';

const account = (name: string, limits: Partial<AccountConfiguration> = {}): AccountConfiguration => ({
	name, key: sha256(`${name}-key`), requestsPerSecond: 1000, concurrent: 10, priority: 5, ...limits,
});

const configurationWith = (accounts: readonly AccountConfiguration[]): ConfigurationSource => ({
	current: {
		revision: 1, configuration: {
			models: [], routes: [], accounts, vms: [], rollout: {balance: 0.5},
		},
	},
	changes: empty() as Stream<never>,
});

describe('AccountAdmission', () => {
	let time: VirtualTime;
	let cluster: GossipCluster;

	const create = async (accounts: readonly AccountConfiguration[], options: Partial<AccountAdmissionOptions> = {}): Promise<AccountAdmission> => {
		cluster = new GossipCluster({seed: 'one'});
		time = cluster.time;
		const {gossip, host} = await cluster.start('e0', {self: {role: 'entry'}});
		return new AccountAdmission({
			configuration: configurationWith(accounts), members: gossip, peerServer: host.peerServer, peerClient: host.peerClient, clock: host.clock,
			random: seededRandom('one'), log: SILENT_LOG, metrics: new MemoryMetrics(), selfId: 'e0', fleetCapacity: () => 4, ...options,
		});
	};

	afterEach(() => {
		cluster.stopAll();
	});

	it('refuses unknown keys when there are accounts, and admits everyone as anonymous when there are none', async () => {
		const admission = await create([account('kit')]);
		const refusal = await admission.admit({bearer: 'wrong', deadlineMs: 1000});
		expect(refusal.val).to.include({kind: 'unknown-account'});
		const open = await create([]);
		const permit = await open.admit({deadlineMs: 1000});
		expect(permit.val).to.include({account: 'anonymous'});
	});

	it('refuses with a retry time after which a request is admitted', async () => {
		const admission = await create([account('kit', {requestsPerSecond: 2, concurrent: 100})], {fleetCapacity: () => 100});
		const request = {bearer: 'kit-key', deadlineMs: 1000};
		await admission.admit(request);
		await admission.admit(request);
		const {val: refusal} = await admission.admit(request);
		expect(refusal).to.include({kind: 'rate-limit', retryAfterSeconds: 1});
		await time.advance(1000);
		const later = await admission.admit(request);
		expect(later.ok).to.equal(true);
	});

	it('admits requests of a pool while another pool is full', async () => {
		const admission = await create([account('kit')], {fleetCapacity: pool => pool === 'model' ? 1 : 2});
		const request = {bearer: 'kit-key', deadlineMs: 1000};
		const permits = await Promise.all(['model', 'orders', 'orders'].map(async pool => admission.admit({...request, pool})));
		expect(permits.map(({ok}) => ok)).to.deep.equal([true, true, true]);
		const waiting = admission.admit({...request, pool: 'model'});
		permits[1].unwrap().release();
		const orders = await admission.admit({...request, pool: 'orders'});
		expect(orders.ok).to.equal(true);
		expect(admission.waiting).to.equal(1);
		permits[0].unwrap().release();
		const admitted = await waiting;
		expect(admitted.ok).to.equal(true);
	});

	it('admits a tenth more requests than the upstreams run at the same time', async () => {
		// Without a surplus, upstreams are idle between two requests; a surplus of a quarter fills the agents' queues, and they refuse requests.
		const admission = await create([account('kit', {concurrent: 100})], {fleetCapacity: () => 40});
		for (let i = 0; i < 60; i++) {
			void admission.admit({bearer: 'kit-key', deadlineMs: 1000});
		}

		await time.advance(1);
		expect(admission.inProgress).to.equal(44);
	});

	it('admits a waiting request when another one is released, and refuses it at its deadline otherwise', async () => {
		const admission = await create([account('kit')], {fleetCapacity: () => 1});
		const request = {bearer: 'kit-key', deadlineMs: 1000};
		const first = await admission.admit(request);
		const second = admission.admit(request);
		const third = admission.admit(request);
		await time.advance(500);
		first.unwrap().release();
		first.unwrap().release();
		const admitted = await second;
		expect(admitted.ok).to.equal(true);
		await time.advance(500);
		const refusal = await third;
		expect(refusal.val).to.include({kind: 'deadline'});
		expect(admission.inProgress).to.equal(1);
		expect(admission.waiting).to.equal(0);
	});
});
