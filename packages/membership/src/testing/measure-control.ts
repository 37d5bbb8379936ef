/**
Measures control traffic, CPU time and convergence time for several numbers of members, in virtual time.

Usage: `node packages/membership/dist/testing/measure-control.js 16 64 128`. Prints one JSON line for each number of members.
The CPU figures include the protocol and JSON, but neither HTTP nor sockets.
*/
import process from 'node:process';
import {sha256} from '@yuccawood/common';
import type {MemberRecord} from '../types.js';
import {GossipCluster} from './gossip-cluster.js';

const QUIET_MS = 60_000;
const CHURN_PERIOD_MS = 1000;
const CONVERGENCE_LIMIT_MS = 120_000;

const upstream: NonNullable<MemberRecord['upstream']> = {
	kind: 'engine', service: 'kit-assistant', ready: true, capacity: 8,
	served: [{
		name: 'kit-assistant', version: 'v1', manifest: sha256('v1'), kind: 'model',
	}],
	held: [sha256('v1'), sha256('v2')],
};

const measurePeriod = async (cluster: GossipCluster, milliseconds: number, each: () => void = () => undefined) => {
	const hosts = cluster.runningNodes.map(({host}) => host);
	const before = hosts.map(({bodyBytes: bytes}) => bytes);
	const messagesBefore = hosts.reduce((sum, {messageCount: messages}) => sum + messages, 0);
	const cpuBefore = process.cpuUsage();
	for (let passed = 0; passed < milliseconds; passed += CHURN_PERIOD_MS) {
		each();
		await cluster.time.advance(CHURN_PERIOD_MS);
	}

	const cpu = process.cpuUsage(cpuBefore);
	const seconds = milliseconds / 1000;
	const rates = hosts.map(({bodyBytes: bytes}, index) => (bytes - before[index]) / seconds);
	const messages = hosts.reduce((sum, host) => sum + host.messageCount, 0) - messagesBefore;
	return {
		bytesPerSecondPerNode: Math.round(rates.reduce((sum, rate) => sum + rate, 0) / hosts.length),
		bytesPerSecondMaxNode: Math.round(Math.max(...rates)),
		messagesPerSecondPerNode: Number((messages / seconds / hosts.length).toFixed(2)),
		cpuPercentPerNode: Number(((cpu.user + cpu.system) / 10_000 / seconds / hosts.length).toFixed(3)),
	};
};

const measure = async (count: number): Promise<Record<string, unknown>> => {
	const cluster = new GossipCluster({seed: `measure ${count}`});
	for (let i = 0; i < count; i++) {
		await cluster.start(`n${i}`, {self: {upstream, role: i % 3 === 0 ? 'entry' : 'agent'}});
	}

	const joined = await cluster.time.advanceUntil(() => cluster.hasConverged(), {limitMs: CONVERGENCE_LIMIT_MS});
	const quiet = await measurePeriod(cluster, QUIET_MS);
	const [first, ...rest] = cluster.runningNodes;

	first.gossip.updateSelf({upstream: {...upstream, capacity: 9}});
	const changeMs = await cluster.time.advanceUntil(
		() => rest.every(({gossip: {find}}) => find(first.gossip.self.id)?.upstream?.capacity === 9),
		{limitMs: CONVERGENCE_LIMIT_MS},
	);

	const [victim] = rest;
	const {id} = victim.gossip.self;
	victim.kill();
	const deathMs = await cluster.time.advanceUntil(() => cluster.countObservers(id, 'dead') === count - 1, {limitMs: CONVERGENCE_LIMIT_MS});

	// Every member changes its upstream once per second, which is far more than the bounded messages can contain.
	const storm = await measurePeriod(cluster, QUIET_MS * 2, () => {
		for (const {gossip} of cluster.runningNodes) {
			gossip.updateSelf({upstream: {...upstream, capacity: 8 + (gossip.self.sequence % 2)}});
		}
	});
	globalThis.gc?.();
	const heapMb = process.memoryUsage().heapUsed / 1024 / 1024;
	cluster.stopAll();
	return {
		members: count, joinedMs: joined, quiet, changeMs, storm, deathMs, heapMb: Number(heapMb.toFixed(1)),
		heapBytesPerKnownMember: Math.round(heapMb * 1024 * 1024 / count / count),
	};
};

for (const argument of process.argv.slice(2)) {
	console.log(JSON.stringify(await measure(Number(argument))));
}
