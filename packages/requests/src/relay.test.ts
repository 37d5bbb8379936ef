/** TCP relay whose connections can be cut or stop carrying data, for tests of silent paths. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

type Direction = 'none' | 'to-server' | 'to-client' | 'both';

type Link = {readonly client: Socket; readonly server: Socket; dropped: Direction};

export class Relay {
	readonly links = new Set<Link>();

	/** What new connections drop. */
	droppedOnNew: Direction = 'none';
	#server: Server | undefined;

	/** @returns the address to connect to instead of the target. */
	async listen(target: string): Promise<string> {
		const [host, port] = target.split(':');
		const server = createServer(client => {
			this.#link(client, connect(Number(port), host));
		});
		this.#server = server;
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	}

	/** Established connections stay open but drop data from now on; new ones work. */
	silence(dropped: Direction): void {
		for (const link of this.links) {
			link.dropped = dropped;
		}
	}

	/** Resets established connections. */
	reset(): void {
		for (const {client, server} of this.links) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}
	}

	close(): void {
		this.#server?.close();
		this.reset();
	}

	#link(client: Socket, server: Socket): void {
		const link: Link = {client, server, dropped: this.droppedOnNew};
		this.links.add(link);
		client.on('data', data => {
			if (link.dropped === 'none' || link.dropped === 'to-client') {
				server.write(data);
			}
		});
		server.on('data', data => {
			if (link.dropped === 'none' || link.dropped === 'to-server') {
				client.write(data);
			}
		});
		for (const [socket, other] of [[client, server], [server, client]] as const) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.links.delete(link);
				other.destroy();
			});
		}
	}
}
