/** Tells when the caller of one request has left. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export class CallerPresence {
	readonly #controller = new AbortController();

	/**
	The end of what a caller sends already counts: the close of the connection follows some turns of the event loop later.

	@param socket connection of the caller
	*/
	constructor(socket: Socket, response: ServerResponse) {
		const leave = (): void => {
			if (!response.writableFinished) {
				this.#controller.abort();
			}
		};

		const stop = (): void => {
			socket.off('end', leave);
			socket.off('close', leave);
		};

		socket.once('end', leave);
		socket.once('close', leave);
		response.once('finish', stop);
		response.once('close', () => {
			stop();
			leave();
		});
	}

	/** Aborts when the caller closes its connection before it has the whole answer. */
	get departure(): AbortSignal {
		return this.#controller.signal;
	}
}
