import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import process from 'node:process';

/**
Ports given out, below the range from which the system takes the ports of outgoing connections.

A port of that range could be taken by a connection between the moment it was found free and the start of its process.
*/
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Spreads processes that look for ports at the same time. */
const PORTS_PER_PROCESS = 211;

let next = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT;

const tryListen = async (port: number): Promise<Server | undefined> => {
	const server = createServer();
	server.listen({port, host: '127.0.0.1', exclusive: true});
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
};

const close = async (server: Server): Promise<void> => {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
};

/** Loopback addresses that are free now. No address is given out twice by one process until all were. */
export const freeAddresses = async (count: number): Promise<readonly string[]> => {
	const addresses: string[] = [];
	for (let tries = 0; addresses.length < count && tries < PORT_COUNT; tries++) {
		const port = FIRST_PORT + next;
		next = (next + 1) % PORT_COUNT;
		const server = await tryListen(port);
		if (server) {
			await close(server);
			addresses.push(`127.0.0.1:${port}`);
		}
	}

	return addresses;
};
