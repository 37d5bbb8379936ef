/** TCP relay that can make established connections go silent while new ones work. */
import net, {type AddressInfo, type Socket} from 'node:net';

export class TcpRelay {
	readonly #target: {readonly host: string; readonly port: number};
	readonly #sockets = new Set<Socket>();
	readonly #silent = new Set<Socket>();
	readonly #server: net.Server;

	/** `target` is `IP:port`. */
	constructor({target}: {readonly target: string}) {
		const separator = target.lastIndexOf(':');
		this.#target = {host: target.slice(0, separator), port: Number(target.slice(separator + 1))};
		this.#server = net.createServer(socket => {
			this.#relay(socket);
		});
	}

	/** Connections that carry data or have gone silent. */
	get connections(): number {
		return this.#sockets.size / 2;
	}

	/** @returns the address, `IP:port`. */
	async listen(host = '127.0.0.1', port = 0): Promise<string> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
		return `${host}:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Stops carrying data on the present connections, which stay open. @returns how many there are. */
	silence(): number {
		const count = this.connections;
		for (const socket of this.#sockets) {
			socket.unpipe();
			socket.pause();
			socket.removeAllListeners('end');
			this.#silent.add(socket);
		}

		return count;
	}

	/** Breaks the connections that have gone silent. */
	cutSilent(): void {
		for (const socket of this.#silent) {
			socket.resetAndDestroy();
		}
	}

	/** Breaks the present connections. */
	cut(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	async close(): Promise<void> {
		this.cut();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#relay(near: Socket): void {
		const far = net.connect({...this.#target, noDelay: true, allowHalfOpen: true});
		near.setNoDelay(true);
		for (const [one, other] of [[near, far], [far, near]] as const) {
			this.#sockets.add(one);
			one.on('error', () => {
				one.destroy();
			});
			one.on('close', () => {
				this.#sockets.delete(one);
				this.#silent.delete(one);
				other.destroy();
			});
			one.pipe(other);
		}
	}
}
