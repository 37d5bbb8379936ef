/** TCP relay that delays, cuts one way, silences or resets connections. */
import net, {type AddressInfo, type Socket} from 'node:net';
import {Transform} from 'node:stream';
import {delay} from '@yuccawood/common';

export type Direction = 'toTarget' | 'toCaller';

export class TcpRelay {
	/** Time by which data comes late, in milliseconds. */
	delayMs = 0;
	readonly #target: {readonly host: string; readonly port: number};
	readonly #sockets = new Set<Socket>();
	readonly #silent = new Set<Socket>();
	readonly #server: net.Server;
	readonly #held = new Set<Direction>();
	readonly #waiting = new Set<() => void>();

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

	/** Holds back what comes on present and new connections; it arrives once it is released, as after a partition. */
	hold(...directions: readonly Direction[]): void {
		for (const direction of directions) {
			this.#held.add(direction);
		}
	}

	release(): void {
		this.#held.clear();
		for (const wake of this.#waiting) {
			wake();
		}

		this.#waiting.clear();
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
		this.release();
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
		for (const [one, other, direction] of [[near, far, 'toTarget'], [far, near, 'toCaller']] as const) {
			const gate = this.#gate(direction);
			this.#sockets.add(one);
			one.on('error', () => {
				one.destroy();
			});
			// When data and a reset arrive together, the stream ends without an error, but the socket has no remote address any more.
			let wasReset = false;
			one.once('end', () => {
				wasReset = one.remoteAddress === undefined;
			});
			one.on('close', (hadError: boolean) => {
				this.#sockets.delete(one);
				this.#silent.delete(one);
				if (hadError || wasReset) {
					other.resetAndDestroy();
					return;
				}

				if (one.readableEnded && !gate.readableEnded) {
					// The end of an answer may still have to pass the gate.
					gate.once('end', () => {
						other.destroySoon();
					});
					return;
				}

				other.destroySoon();
			});
			one.pipe(gate).pipe(other);
		}
	}

	#gate(direction: Direction): Transform {
		return new Transform({
			transform: (data, _encoding, done) => {
				void this.#pass(direction, () => {
					done(undefined, data);
				});
			},
			flush: done => {
				void this.#pass(direction, done);
			},
		});
	}

	async #pass(direction: Direction, go: () => void): Promise<void> {
		if (this.delayMs > 0) {
			await delay(this.delayMs);
		}

		while (this.#held.has(direction)) {
			await new Promise<void>(resolve => {
				this.#waiting.add(resolve);
			});
		}

		go();
	}
}
