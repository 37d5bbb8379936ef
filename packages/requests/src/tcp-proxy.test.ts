/** TCP proxy that can reset its connections or drop their data, for tests of broken and silent connections. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

type DropDirection = 'none' | 'to-server' | 'to-client' | 'both';

type ProxiedConnection = {readonly client: Socket; readonly server: Socket; dropped: DropDirection};

export class TcpProxy {
	readonly connections = new Set<ProxiedConnection>();

	/** Direction in which new connections drop data. */
	droppedOnNew: DropDirection = 'none';
	#server: Server | undefined;

	/** Starts forwarding to the target (`IP:port`). @returns the address of the proxy. */
	async listen(target: string): Promise<string> {
		const [host, port] = target.split(':');
		const server = createServer(client => {
			this.#forward(client, connect(Number(port), host));
		});
		this.#server = server;
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	/** Keeps established connections open but drops their data in this direction; new connections are not affected. */
	dropData(dropped: DropDirection): void {
		for (const link of this.connections) {
			link.dropped = dropped;
		}
	}

	/** Resets established connections. */
	reset(): void {
		for (const {client, server} of this.connections) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}
	}

	close(): void {
		this.#server?.close();
		this.reset();
	}

	#forward(client: Socket, server: Socket): void {
		const connection: ProxiedConnection = {client, server, dropped: this.droppedOnNew};
		this.connections.add(connection);
		client.on('data', data => {
			if (connection.dropped === 'none' || connection.dropped === 'to-client') {
				server.write(data);
			}
		});
		server.on('data', data => {
			if (connection.dropped === 'none' || connection.dropped === 'to-server') {
				client.write(data);
			}
		});
		for (const [socket, other] of [[client, server], [server, client]] as const) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.connections.delete(connection);
				other.destroy();
			});
		}
	}
}
