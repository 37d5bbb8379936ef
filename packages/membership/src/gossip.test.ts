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
		expect(await cluster.time.advanceUntil(() => cluster.hasConverged(), {limitMs: 30_000})).to.be.a('number');
	};

	const node = (id: string): ClusterNode => cluster.nodes.get(id)!;
	/** Expects the condition to become true within the given virtual time. */
	const expectWithin = async (condition: () => boolean, limitMs: number): Promise<void> => {
		expect(await cluster.time.advanceUntil(condition, {limitMs})).to.be.a('number');
	};

	/** Sum of a counter over all processes. */
	const counterTotal = (metric: string): number => cluster.runningNodes.reduce((total, {metrics}) => total + (metrics.counters.get(metric) ?? 0), 0);

	afterEach(() => {
		cluster.stopAll();
	});

	describe('when a process fails', () => {
		it('declares a killed process dead everywhere', async () => {
			await startCluster(16);
			node('n5').kill();
			await expectWithin(() => cluster.hasConverged() && cluster.countObservers('n5', 'dead') === 15, 20_000);
		});

		it('declares a process dead that is killed while leaving', async () => {
			await startCluster(8);
			await Promise.all([node('n5').gossip.leave(), cluster.time.advance(5000)]);
			node('n5').kill();
			await expectWithin(() => cluster.countObservers('n5', 'dead') === 7, 40_000);
		});

		it('does not suspect a member that only one process cannot reach', async () => {
			await startCluster(8);
			cluster.network.interruptLinks((from, to) => from.endsWith('n1') && to.endsWith('n2'));
			await cluster.time.advance(60_000);
			expect(counterTotal('membership.suspicions')).to.equal(0);
			expect(counterTotal('membership.failed_pings,indirect=answered')).to.be.above(0);
		});

		it('suspects that member when there are no indirect pings', async () => {
			await startCluster(8, {indirectPings: 0});
			cluster.network.interruptLinks((from, to) => from.endsWith('n1') && to.endsWith('n2'));
			await cluster.time.advance(60_000);
			expect(counterTotal('membership.suspicions')).to.be.above(0);
		});

		it('lets a briefly frozen process refute the suspicion', async () => {
			await startCluster(8);
			node('n3').host.clock.freeze();
			await expectWithin(() => cluster.countObservers('n3', 'suspect') > 0, 10_000);
			node('n3').host.clock.resume();
			await expectWithin(() => cluster.hasConverged() && cluster.runningNodes.every(({gossip: {find}}) => find('n3')!.sequence > 1), 15_000);
			expect(counterTotal('membership.deaths')).to.equal(0);
		});

		it('readmits a process that was frozen until it was declared dead, and that process declares no member dead', async () => {
			await startCluster(8);
			node('n3').host.clock.freeze();
			await expectWithin(() => cluster.countObservers('n3', 'dead') === 7, 30_000);
			const deaths = counterTotal('membership.deaths');
			node('n3').host.clock.resume();
			await expectWithin(() => cluster.hasConverged(), 30_000);
			expect(counterTotal('membership.deaths')).to.equal(deaths);
		});

		it('lets a process that was frozen after it suspected a member receive the refutation first', async () => {
			await startCluster(8);
			node('n3').host.clock.freeze();
			const findObserver = (): ClusterNode | undefined => cluster.runningNodes.find(({gossip: {find}}) => find('n3')?.status === 'suspect');
			await expectWithin(() => findObserver() !== undefined, 10_000);
			const observer = findObserver()!;
			observer.host.clock.freeze();
			node('n3').host.clock.resume();
			await cluster.time.advance(30_000);
			observer.host.clock.resume();
			await expectWithin(() => cluster.hasConverged(), 30_000);
			expect(observer.metrics.counters.get('membership.deaths')).to.equal(undefined);
		});

		it('drops a dead member and rejects stale records of it', async () => {
			await startCluster(8);
			const stale = node('n0').gossip.find('n5')!;
			node('n5').kill();
			await cluster.time.advance(120_000);
			expect(cluster.countObservers('n5', undefined)).to.equal(7);
			await node('n0').host.receive('membership.exchange', {
				from: ['n1', 0, 0, 'alive', 0], highest: 0, checksum: 0, records: [stale], claims: [], wants: [],
			});
			expect(node('n0').gossip.find('n5')).to.equal(undefined);
		});
	});

	describe('when a process restarts with its id', () => {
		it('accepts the new incarnation although its clock was set back, and the new process learns the highest revision', async () => {
			await startCluster(8);
			node('n5').gossip.updateSelf({revision: 41});
			await cluster.time.advance(20_000);
			const {incarnation} = node('n5').gossip.self;
			node('n5').kill();
			const restarted = await cluster.start('n5', {self: {incarnation: incarnation - 60_000}});
			expect(restarted.gossip.self.incarnation).to.be.above(incarnation);
			expect(restarted.gossip.highestRevision).to.equal(41);
			await expectWithin(() => cluster.hasConverged() && cluster.runningNodes.every(({gossip: {find}}) => find('n5')!.incarnation > incarnation), 20_000);
		});

		it('notifies the older of two running processes that it was superseded', async () => {
			await startCluster(4);
			let isSuperseded = false;
			const older = await cluster.start('twin', {
				onSuperseded() {
					isSuperseded = true;
				},
			});
			await cluster.time.advance(5000);
			await cluster.start('twin', {self: {address: '10.0.0.2:twin'}});
			await expectWithin(() => isSuperseded, 30_000);
			older.kill();
		});
	});

	describe('when the network is partitioned for an hour', () => {
		it('joins both halves again afterwards', async () => {
			await startCluster(12);
			const isInFirstHalf = (address: string): boolean => Number(address.split(':n')[1]) < 6;
			cluster.network.interruptLinks((from, to) => isInFirstHalf(from) !== isInFirstHalf(to));
			await cluster.time.advance(HOUR_MS);
			expect(cluster.runningNodes.every(({gossip}) => gossip.members.length === 6)).to.equal(true);
			cluster.network.interruptLinks();
			await expectWithin(() => cluster.hasConverged(), 60_000);
		});
	});

	describe('when clocks jump', () => {
		it('neither suspects nor drops a member', async () => {
			await startCluster(6);
			node('n1').host.clock.wallOffsetMs += 24 * HOUR_MS;
			node('n2').host.clock.wallOffsetMs -= 24 * HOUR_MS;
			await cluster.time.advance(30_000);
			expect(cluster.hasConverged()).to.equal(true);
			expect(counterTotal('membership.suspicions')).to.equal(0);
		});
	});

	describe('when a member is leaving', () => {
		it('notifies all entries directly, without waiting for gossip', async () => {
			await startCluster(16);
			const entry = await cluster.start('entry', {self: {role: 'entry'}});
			await cluster.time.advance(10_000);
			await Promise.all([node('n3').gossip.leave(), cluster.time.advance(20)]);
			expect(entry.gossip.find('n3')?.status).to.equal('leaving');
			await expectWithin(() => cluster.countObservers('n3', 'leaving') === 17, 15_000);
		});

		it('notifies the entries of a new agent at once', async () => {
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

		it('marks a listed member as leaving within three seconds, and notifies it', async () => {
			states = [];
			await startCluster(6, {vmList});
			const entry = await cluster.start('entry', {self: {role: 'entry'}});
			let isNotified = false;
			await cluster.start('victim', {
				onLeaveHint() {
					isNotified = true;
				},
			});
			await cluster.time.advance(10_000);
			states = [{id: 'victim', state: 'leaving'}];
			await expectWithin(() => isNotified && entry.gossip.find('victim')?.status === 'leaving', 3000);
		});

		it('keeps a member that answers although the list does not contain it', async () => {
			states = [{id: 'n0', state: 'live'}];
			await startCluster(6, {vmList});
			await cluster.time.advance(30_000);
			expect(cluster.hasConverged()).to.equal(true);
		});

		it('marks a process that started after its VM was listed only if the listing outlasts the lag of the list', async () => {
			states = [];
			await startCluster(6, {vmList});
			states = [{id: 'n4', state: 'leaving'}];
			await expectWithin(() => cluster.countObservers('n4', 'leaving') === 6, 10_000);
			node('n4').kill();
			await cluster.start('n4');
			await cluster.time.advance(20_000);
			expect(cluster.countObservers('n4', 'alive')).to.equal(6);
			await expectWithin(() => cluster.countObservers('n4', 'leaving') === 6, 30_000);
		});
	});

	describe('under load', () => {
		const bytesPerNode = (): number => cluster.runningNodes.reduce((total, {host}) => total + host.bodyBytes, 0) / cluster.nodes.size;
		const bytesPerSecond = async (seconds: number, each: () => void = () => undefined): Promise<number> => {
			const before = bytesPerNode();
			for (let second = 0; second < seconds; second++) {
				each();
				await cluster.time.advance(1000);
			}

			return (bytesPerNode() - before) / seconds;
		};

		const updateAllRecords = (): void => {
			for (const {gossip} of cluster.runningNodes) {
				gossip.updateSelf({
					upstream: {
						kind: 'engine', service: 'kit', ready: true, capacity: gossip.self.sequence, served: [], held: [],
					},
				});
			}
		};

		it('keeps control traffic below 9 KB/s for each node when every record changes each second', async () => {
			await startCluster(32);
			expect(await bytesPerSecond(120, updateAllRecords)).to.be.below(9000);
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
