/**
Measures traffic, CPU time and memory of members that communicate over loopback sockets, all in one process.

Usage: `node packages/membership/dist/testing/measure-sockets.js 16 32 64`. Prints one JSON line for each number of members.
Traffic is given in bytes of JSON-RPC bodies, sent plus received, and in bytes on the sockets, which include the HTTP heads.
*/
import net from 'node:net';
import process from 'node:process';
import {
	MemoryMetrics, PeerClient, PeerServer, SILENT_LOG, SystemClock, systemRandom,
} from '@yuccawood/common';
import {Gossip} from '../gossip.js';

const SETTLE_MS = 15_000;
const MEASURE_MS = 20_000;

type Node = {
	readonly gossip: Gossip;
	readonly server: PeerServer;
	readonly client: PeerClient;
	readonly controller: AbortController;
	bodyBytes: number;
};

/** Starts a TCP relay in front of a server, which counts the bytes in both directions. */
const relay = async (port: number, count: (bytes: number) => void): Promise<net.Server> => {
	const server = net.createServer(inbound => {
		const outbound = net.connect(port, '127.0.0.1');
		for (const [from, to] of [[inbound, outbound], [outbound, inbound]]) {
			from.on('data', (data: Uint8Array) => {
				count(data.byteLength);
			});
			from.on('error', () => to.destroy());
			from.pipe(to);
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
};

const portOf = (server: net.Server): number => (server.address() as net.AddressInfo).port;

const measure = async (members: number): Promise<Record<string, unknown>> => {
	const clock = new SystemClock();
	const nodes: Node[] = [];
	const relays: net.Server[] = [];
	const seeds: string[] = [];
	const sockets = {bytes: 0};
	const countSocketBytes = (bytes: number): void => {
		sockets.bytes += bytes;
	};

	for (let i = 0; i < members; i++) {
		const server = new PeerServer();
		const port = await server.listen('127.0.0.1', 0);
		const front = await relay(port, countSocketBytes);
		relays.push(front);
		const address = `127.0.0.1:${portOf(front)}`;
		const client = new PeerClient({
			onControlBytes(bytes) {
				node.bodyBytes += bytes;
			},
		});
		const gossip = new Gossip({
			self: {
				id: `n${i}`, role: i % 3 === 0 ? 'entry' : 'agent', address, region: 'western', failureDomain: 'western-a',
			},
			seeds: [...seeds], peerServer: server, peerClient: client, clock, random: systemRandom(), log: SILENT_LOG, metrics: new MemoryMetrics(),
		});
		const node: Node = {
			gossip, server, client, controller: new AbortController(), bodyBytes: 0,
		};
		nodes.push(node);
		seeds.splice(3, 1, address);
		await gossip.start(node.controller.signal);
	}

	await clock.sleep(SETTLE_MS);
	const bodies = (): number => nodes.reduce((sum, {bodyBytes, server}) => sum + bodyBytes + server.controlBytes, 0);
	const atStart = {bodies: bodies(), sockets: sockets.bytes, cpu: process.cpuUsage()};
	await clock.sleep(MEASURE_MS);
	const cpu = process.cpuUsage(atStart.cpu);
	const perNodeSecond = (amount: number): number => amount / members / (MEASURE_MS / 1000);
	const result = {
		members,
		complete: nodes.every(({gossip}) => gossip.members.length === members && gossip.members.every(({status}) => status === 'alive')),
		bodyBytesPerSecond: Math.round(perNodeSecond(bodies() - atStart.bodies)),
		// The relay counts each byte once, but one node sends it and another one receives it.
		socketBytesPerSecond: Math.round(perNodeSecond(2 * (sockets.bytes - atStart.sockets))),
		cpuPercent: Number(perNodeSecond((cpu.user + cpu.system) / 10_000).toFixed(3)),
		rssMb: Math.round(process.memoryUsage.rss() / 1024 / 1024),
	};
	await Promise.all(nodes.map(async ({server, client, controller}) => {
		controller.abort();
		await Promise.all([server.close(), client.close()]);
	}));
	for (const server of relays) {
		server.close();
	}

	return result;
};

for (const argument of process.argv.slice(2)) {
	console.log(JSON.stringify(await measure(Number(argument))));
}
