/**
Measures the control traffic, including gossip, of entries that share the limits of ten accounts in use, in virtual time.

Usage: `node packages/accounts/dist/testing/measure-shares.js 3 10 30 60`. Prints one JSON line per number of entries.
Bytes are those of JSON-RPC bodies, sent plus received.
*/
import process from 'node:process';
import {
	MemoryMetrics, seededRandom, sha256, SILENT_LOG,
} from '@yuccawood/common';
import type {Configuration} from '@yuccawood/configuration';
import {GossipCluster, type ClusterNode} from '@yuccawood/membership/testing';
import {empty, type Stream} from 'most';
import {AccountAdmission} from '../account-admission.js';

const ACCOUNT_COUNT = 10;
const RUN_SECONDS = 60;
const SERVICE_MS = 100;

const configuration: Configuration = {
	models: [], routes: [], vms: [], rollout: {balance: 0.5},
	accounts: Array.from({length: ACCOUNT_COUNT}, (_, i) => ({
		name: `account-${i}`, key: sha256(`key-${i}`), requestsPerSecond: 1000, concurrent: 100, priority: 5,
	})),
};

const createAdmission = ({gossip, host}: ClusterNode): AccountAdmission => new AccountAdmission({
	configuration: {current: {revision: 1, configuration}, changes: empty() as Stream<never>}, members: gossip, peerServer: host.peerServer,
	peerClient: host.peerClient, clock: host.clock, random: seededRandom(host.address), log: SILENT_LOG, metrics: new MemoryMetrics(),
	selfId: gossip.self.id, fleetCapacity: () => 1000,
});

const sendRequest = async (admission: AccountAdmission, {host}: ClusterNode, bearer: string): Promise<void> => {
	const answer = await admission.admit({bearer, deadlineMs: 1000});
	if (answer.ok) {
		await host.clock.sleep(SERVICE_MS);
		answer.val.release();
	}
};

const measure = async (entries: number): Promise<Record<string, unknown>> => {
	const cluster = new GossipCluster({seed: `shares ${entries}`});
	const controller = new AbortController();
	const admissions = new Map<ClusterNode, AccountAdmission>();
	for (let i = 0; i < entries; i++) {
		const node = await cluster.start(`n${i}`, {self: {role: 'entry'}});
		const admission = createAdmission(node);
		admission.start(controller.signal);
		admissions.set(node, admission);
	}

	/** Sends one request per account and second to each entry. */
	const run = async (): Promise<void> => {
		for (let second = 0; second < RUN_SECONDS; second++) {
			for (const [node, admission] of admissions) {
				for (let account = 0; account < ACCOUNT_COUNT; account++) {
					void sendRequest(admission, node, `key-${account}`);
				}
			}

			await cluster.time.advance(1000);
		}
	};

	await run();
	const before = cluster.runningNodes.map(({host: {bodyBytes: bytes, messageCount: messages}}) => ({bytes, messages}));
	await run();
	const bytes = cluster.runningNodes.map(({host}, index) => (host.bodyBytes - before[index].bytes) / RUN_SECONDS);
	const messages = cluster.runningNodes.map(({host}, index) => (host.messageCount - before[index].messages) / RUN_SECONDS);
	const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / entries;
	controller.abort();
	cluster.stopAll();
	return {
		entries, bytesPerSecond: Math.round(mean(bytes)), bytesPerSecondMaxEntry: Math.round(Math.max(...bytes)),
		messagesPerSecond: Number(mean(messages).toFixed(1)), messagesPerSecondMaxEntry: Number(Math.max(...messages).toFixed(1)),
	};
};

for (const argument of process.argv.slice(2)) {
	console.log(JSON.stringify(await measure(Number(argument))));
}
