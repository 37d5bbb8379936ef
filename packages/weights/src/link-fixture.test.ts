/** A TCP proxy whose connections tests can stall or cut. */
import net from 'node:net';

export class TestLink {
	/** `stalled` keeps connections open but forwards no data; `cut` closes them and all new ones. */
	#mode: 'open' | 'stalled' | 'cut' = 'open';
	readonly #sockets = new Set<net.Socket>();
	readonly #server = net.createServer({allowHalfOpen: true}, socket => {
		this.#connect(socket);
	});

	constructor(readonly target: string) {}

	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
	}

	set(mode: 'open' | 'stalled' | 'cut'): void {
		this.#mode = mode;
		for (const socket of this.#sockets) {
			if (mode === 'cut') {
				socket.destroy();
			} else if (mode === 'stalled') {
				socket.pause();
			} else {
				socket.resume();
			}
		}
	}

	close(): void {
		this.set('cut');
		this.#server.close();
	}

	#connect(socket: net.Socket): void {
		if (this.#mode === 'cut') {
			socket.destroy();
			return;
		}

		const [host, port] = this.target.split(':');
		const targetSocket = net.connect({host, port: Number(port), allowHalfOpen: true});
		for (const [one, other] of [[socket, targetSocket], [targetSocket, socket]]) {
			this.#sockets.add(one);
			one.on('data', data => {
				if (!other.destroyed) {
					other.write(data);
				}
			});
			one.on('end', () => other.end());
			one.on('error', () => other.destroy());
			one.on('close', () => {
				this.#sockets.delete(one);
				other.destroy();
			});
			if (this.#mode === 'stalled') {
				one.pause();
			}
		}
	}
}
