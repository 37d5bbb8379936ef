import {createServer, type Server} from 'node:net';
import {once} from 'node:events';

const listenAnywhere = async (): Promise<Server> => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return server;
};

const close = async (server: Server): Promise<void> => {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
};

/** Loopback addresses that are free now. All are held until the last one is found, so that none stands twice. */
export const freeAddresses = async (count: number): Promise<readonly string[]> => {
	const servers = await Promise.all(Array.from({length: count}, listenAnywhere));
	const addresses = servers.map(server => {
		const address = server.address();
		return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
	});
	await Promise.all(servers.map(async server => close(server)));
	return addresses;
};
