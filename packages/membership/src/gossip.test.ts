import {expect} from 'chai';
import {GossipCluster} from './testing/index.js';

describe('Gossip', () => {
	describe('in a cluster of 16', () => {
		let cluster: GossipCluster;

		beforeEach(async () => {
			cluster = new GossipCluster({seed: 'sixteen'});
			await cluster.startMany(16);
			expect(await cluster.time.advanceUntil(() => cluster.agree(), {limitMs: 20_000})).to.be.a('number');
		});

		afterEach(() => {
			cluster.stopAll();
		});

		it('declares a killed process dead everywhere', async () => {
			cluster.nodes.get('n5')!.kill();
			const took = await cluster.time.advanceUntil(() => cluster.agree() && cluster.count('n5', 'dead') === 15, {limitMs: 30_000});
			expect(took).to.be.a('number');
		});

		it('tells all entries directly that a process is leaving, without waiting for gossip', async () => {
			const entry = await cluster.start('entry', {self: {role: 'entry'}});
			await cluster.time.advance(10_000);
			await Promise.all([cluster.nodes.get('n3')!.gossip.leave(), cluster.time.advance(20)]);
			expect(entry.gossip.find('n3')?.status).to.equal('leaving');
			expect(await cluster.time.advanceUntil(() => cluster.count('n3', 'leaving') === 17, {limitMs: 15_000})).to.be.a('number');
		});
	});
});
