import {Ok} from '@yuccawood/common';
import type {VmList, VmState} from '@yuccawood/interfaces';
import {expect} from 'chai';
import type {GossipOptions} from './gossip-options.js';
import {GossipCluster, type ClusterNode} from './testing/index.js';

const HOUR_MS = 3600 * 1000;

describe('Gossip', () => {
	let cluster: GossipCluster;

	const startCluster = async (count: number, options: Partial<GossipOptions> & {readonly seed?: string} = {}): Promise<void> => {
		cluster = new GossipCluster({seed: 'gossip', ...options});
		await cluster.startMany(count);
		expect(await cluster.time.advanceUntil(() => cluster.agree(), {limitMs: 30_000})).to.be.a('number');
	};

	const node = (id: string): ClusterNode => cluster.nodes.get(id)!;
	const reaches = async (condition: () => boolean, limitMs: number): Promise<void> => {
		expect(await cluster.time.advanceUntil(condition, {limitMs})).to.be.a('number');
	};

	const sum = (metric: string): number => cluster.all.reduce((total, {metrics}) => total + (metrics.counters.get(metric) ?? 0), 0);

	afterEach(() => {
		cluster.stopAll();
	});

	describe('when a process fails', () => {
		it('declares a killed process dead everywhere', async () => {
			await startCluster(16);
			node('n5').kill();
			await reaches(() => cluster.agree() && cluster.count('n5', 'dead') === 15, 20_000);
		});

		it('declares a process dead that is killed while it is leaving', async () => {
			await startCluster(8);
			await Promise.all([node('n5').gossip.leave(), cluster.time.advance(5000)]);
			node('n5').kill();
			await reaches(() => cluster.count('n5', 'dead') === 7, 40_000);
		});

		it('does not suspect a member that only one process cannot reach', async () => {
			await startCluster(8);
			cluster.network.cut((from, to) => from.endsWith('n1') && to.endsWith('n2'));
			await cluster.time.advance(60_000);
			expect(sum('membership.suspicions')).to.equal(0);
			expect(sum('membership.failed_pings,indirect=answered')).to.be.above(0);
		});

		it('suspects that member when indirect pings are left out', async () => {
			await startCluster(8, {indirectPings: 0});
			cluster.network.cut((from, to) => from.endsWith('n1') && to.endsWith('n2'));
			await cluster.time.advance(60_000);
			expect(sum('membership.suspicions')).to.be.above(0);
		});

		it('lets a suspected process that was frozen briefly refute the suspicion', async () => {
			await startCluster(8);
			node('n3').host.clock.freeze();
			await reaches(() => cluster.count('n3', 'suspect') > 0, 10_000);
			node('n3').host.clock.resume();
			await reaches(() => cluster.agree() && cluster.all.every(({gossip: {find}}) => find('n3')!.sequence > 1), 15_000);
			expect(sum('membership.deaths')).to.equal(0);
		});

		it('takes a process back that was frozen until it was declared dead, and that process declares nobody dead', async () => {
			await startCluster(8);
			node('n3').host.clock.freeze();
			await reaches(() => cluster.count('n3', 'dead') === 7, 30_000);
			const deaths = sum('membership.deaths');
			node('n3').host.clock.resume();
			await reaches(() => cluster.agree(), 30_000);
			expect(sum('membership.deaths')).to.equal(deaths);
		});

		it('lets a process that was frozen while it suspected another one hear the refutation first', async () => {
			await startCluster(8);
			node('n3').host.clock.freeze();
			const suspects = (): ClusterNode | undefined => cluster.all.find(({gossip: {find}}) => find('n3')?.status === 'suspect');
			await reaches(() => suspects() !== undefined, 10_000);
			const observer = suspects()!;
			observer.host.clock.freeze();
			node('n3').host.clock.resume();
			await cluster.time.advance(30_000);
			observer.host.clock.resume();
			await reaches(() => cluster.agree(), 30_000);
			expect(observer.metrics.counters.get('membership.deaths')).to.equal(undefined);
		});

		it('forgets a dead member and refuses stale records of it', async () => {
			await startCluster(8);
			const stale = node('n0').gossip.find('n5')!;
			node('n5').kill();
			await cluster.time.advance(120_000);
			expect(cluster.count('n5', undefined)).to.equal(7);
			await node('n0').host.receive('membership.exchange', {
				from: ['n1', 0, 0, 'alive', 0], highest: 0, checksum: 0, records: [stale], claims: [], wants: [],
			});
			expect(node('n0').gossip.find('n5')).to.equal(undefined);
		});
	});

	describe('when a process restarts with its id', () => {
		it('recognises the new incarnation although its clock was set back, and the new process learns the highest revision', async () => {
			await startCluster(8);
			node('n5').gossip.updateSelf({revision: 41});
			await cluster.time.advance(20_000);
			const {incarnation} = node('n5').gossip.self;
			node('n5').kill();
			const restarted = await cluster.start('n5', {self: {incarnation: incarnation - 60_000}});
			expect(restarted.gossip.self.incarnation).to.be.above(incarnation);
			expect(restarted.gossip.highestRevision).to.equal(41);
			await reaches(() => cluster.agree() && cluster.all.every(({gossip: {find}}) => find('n5')!.incarnation > incarnation), 20_000);
		});

		it('reports to the older of two running processes that it was replaced', async () => {
			await startCluster(4);
			let isSuperseded = false;
			const older = await cluster.start('twin', {
				onSuperseded() {
					isSuperseded = true;
				},
			});
			await cluster.time.advance(5000);
			await cluster.start('twin', {self: {address: '10.0.0.2:twin'}});
			await reaches(() => isSuperseded, 30_000);
			older.kill();
		});
	});

	describe('when the network is partitioned for an hour', () => {
		it('lets both halves find each other again', async () => {
			await startCluster(12);
			const isLeft = (address: string): boolean => Number(address.split(':n')[1]) < 6;
			cluster.network.cut((from, to) => isLeft(from) !== isLeft(to));
			await cluster.time.advance(HOUR_MS);
			expect(cluster.all.every(({gossip}) => gossip.members.length === 6)).to.equal(true);
			cluster.network.cut();
			await reaches(() => cluster.agree(), 60_000);
		});
	});

	describe('when clocks jump', () => {
		it('neither suspects nor forgets anybody', async () => {
			await startCluster(6);
			node('n1').host.clock.wallOffsetMs += 24 * HOUR_MS;
			node('n2').host.clock.wallOffsetMs -= 24 * HOUR_MS;
			await cluster.time.advance(30_000);
			expect(cluster.agree()).to.equal(true);
			expect(sum('membership.suspicions')).to.equal(0);
		});
	});

	describe('when a member is leaving', () => {
		it('tells all entries directly, without waiting for gossip', async () => {
			await startCluster(16);
			const entry = await cluster.start('entry', {self: {role: 'entry'}});
			await cluster.time.advance(10_000);
			await Promise.all([node('n3').gossip.leave(), cluster.time.advance(20)]);
			expect(entry.gossip.find('n3')?.status).to.equal('leaving');
			await reaches(() => cluster.count('n3', 'leaving') === 17, 15_000);
		});

		it('tells the entries of a new agent at once', async () => {
			await startCluster(16);
			const entry = await cluster.start('entry', {self: {role: 'entry'}});
			await cluster.time.advance(10_000);
			await cluster.start('fresh');
			expect(entry.gossip.find('fresh')?.status).to.equal('alive');
		});
	});

	describe('with the VM list', () => {
		let states: readonly VmState[];
		const vmList: VmList = {list: async () => Ok(states)};

		it('marks a listed member as leaving within three seconds, and tells it', async () => {
			states = [];
			await startCluster(6, {vmList});
			const entry = await cluster.start('entry', {self: {role: 'entry'}});
			let isTold = false;
			await cluster.start('victim', {
				onLeaveHint() {
					isTold = true;
				},
			});
			await cluster.time.advance(10_000);
			states = [{id: 'victim', state: 'leaving'}];
			await reaches(() => isTold && entry.gossip.find('victim')?.status === 'leaving', 3000);
		});

		it('keeps a responding member that the list does not contain', async () => {
			states = [{id: 'n0', state: 'live'}];
			await startCluster(6, {vmList});
			await cluster.time.advance(30_000);
			expect(cluster.agree()).to.equal(true);
		});

		it('does not mark a process that was started after its VM was listed, unless the listing outlasts the lag of the list', async () => {
			states = [];
			await startCluster(6, {vmList});
			states = [{id: 'n4', state: 'leaving'}];
			await reaches(() => cluster.count('n4', 'leaving') === 6, 10_000);
			node('n4').kill();
			await cluster.start('n4');
			await cluster.time.advance(20_000);
			expect(cluster.count('n4', 'alive')).to.equal(6);
			await reaches(() => cluster.count('n4', 'leaving') === 6, 30_000);
		});
	});

	describe('under load', () => {
		const bytesPerNode = (): number => cluster.all.reduce((total, {host}) => total + host.bytes, 0) / cluster.nodes.size;
		const bytesPerSecond = async (seconds: number, each: () => void = () => undefined): Promise<number> => {
			const before = bytesPerNode();
			for (let second = 0; second < seconds; second++) {
				each();
				await cluster.time.advance(1000);
			}

			return (bytesPerNode() - before) / seconds;
		};

		const changeAll = (): void => {
			for (const {gossip} of cluster.all) {
				gossip.updateSelf({
					upstream: {
						kind: 'engine', service: 'kit', ready: true, capacity: gossip.self.sequence, served: [], held: [],
					},
				});
			}
		};

		it('keeps control traffic below 9 KB/s for each node when every record changes each second', async () => {
			await startCluster(32);
			expect(await bytesPerSecond(120, changeAll)).to.be.below(9000);
		});

		it('sends the same amount for 8 and for 48 members', async () => {
			const rates: number[] = [];
			for (const count of [8, 48]) {
				await startCluster(count);
				await cluster.time.advance(60_000);
				rates.push(await bytesPerSecond(30));
				cluster.stopAll();
			}

			expect(rates[1]).to.be.below(rates[0] * 1.2);
		});
	});
});
