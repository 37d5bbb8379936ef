import {createServer, type Server} from 'node:net';
import {
	Err, Ok, describeError, type Result,
} from '@yuccawood/common';
import {LeaseError} from './errors.js';

/**
Exclusive loopback port that only one agent of a VM can hold.

The operating system keeps the port bound while its owner is paused, so a second agent cannot send orders next to it.
*/
export class OrderLock {
	readonly #host: string;
	readonly #port: number;
	#server: Server | undefined;

	constructor({port, host = '127.0.0.1'}: {
		/** The same port for all agents of the VM's upstream; 0 takes a free port and excludes nobody. */
		readonly port: number;
		readonly host?: string;
	}) {
		this.#port = port;
		this.#host = host;
	}

	get held(): boolean {
		return this.#server !== undefined;
	}

	/** The bound port while the lock is held. */
	get port(): number {
		const address = this.#server?.address();
		return typeof address === 'object' && address ? address.port : this.#port;
	}

	/** Takes the lock if it is free; repeated calls by the holder succeed. */
	async acquire(): Promise<Result<void, LeaseError>> {
		if (this.#server) {
			return Ok(undefined);
		}

		const server = createServer(socket => {
			socket.destroy();
		});
		try {
			await new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				server.listen({host: this.#host, port: this.#port, exclusive: true}, resolve);
			});
		} catch (error) {
			return Err(new LeaseError({
				kind: 'lock-taken',
				detail: `Port ${this.#port} of the order lock cannot be bound: ${describeError(error)}.`,
				remedy: 'Stop the other agent of this upstream, or wait until it has exited.',
				cause: error,
			}));
		}

		server.unref();
		this.#server = server;
		return Ok(undefined);
	}

	async release(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		if (!server) {
			return;
		}

		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
	}
}
