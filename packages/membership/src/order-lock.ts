import {createServer, type Server} from 'node:net';
import {
	Err, Ok, describeError, type Result,
} from '@yuccawood/common';
import {LeaseError} from './errors.js';

/**
Lock that only one agent of a VM can hold: an exclusively bound loopback port.

The operating system keeps the port bound while its owner is paused, so no second agent can send orders to the same engine.
*/
export class OrderLock {
	readonly #host: string;
	readonly #port: number;
	#server: Server | undefined;

	constructor({port, host = '127.0.0.1'}: {
		/** Must be the same for all agents of the VM's upstream. 0 binds any free port and so excludes no other agent. */
		readonly port: number;
		readonly host?: string;
	}) {
		this.#port = port;
		this.#host = host;
	}

	get held(): boolean {
		return this.#server !== undefined;
	}

	/** The bound port while the lock is held, else the configured one. */
	get port(): number {
		const address = this.#server?.address();
		return typeof address === 'object' && address ? address.port : this.#port;
	}

	/** Acquires the lock if it is free. Succeeds at once if this instance holds it. @returns a `LeaseError` of kind `lock-taken` if the port cannot be bound. */
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

	/** Releases the lock; does nothing if it is not held. */
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
