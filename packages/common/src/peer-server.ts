import http from 'node:http';
import type {Socket} from 'node:net';
import {JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import {MAX_RPC_REQUEST_BYTES} from './constants.js';
import {describeError} from './errors.js';
import {readBody, sendJson} from './http-bodies.js';

/** Handles the requests whose path starts with the prefix that it was registered for. */
export type PeerHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void | Promise<void>;

/**
HTTP server for the peers of a process. It serves JSON-RPC 2.0 on `POST /rpc`; handlers registered by path prefix serve bulk data.

Methods and handlers are registered before `listen` is called.
*/
export class PeerServer {
	readonly #rpc = new JSONRPCServer();
	readonly #handlers = new Map<string, PeerHandler>();
	readonly #sockets = new Set<Socket>();
	readonly #server: http.Server;
	#bytesRead = 0;
	#bytesWritten = 0;

	constructor({maxHeaderBytes = 16 * 1024}: {readonly maxHeaderBytes?: number} = {}) {
		this.#server = http.createServer({maxHeaderSize: maxHeaderBytes, keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
			void this.#handle(request, response);
		});
		this.#server.requestTimeout = 0;
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** Total size of the JSON-RPC requests received and responses sent. */
	get controlBytes(): number {
		return this.#bytesRead + this.#bytesWritten;
	}

	/** Registers a JSON-RPC method. Its parameters and its result are JSON values. */
	method<Parameters, Answer>(name: string, run: (parameters: Parameters) => Answer | Promise<Answer>): void {
		this.#rpc.addMethod(name, run as (parameters: unknown) => unknown);
	}

	/** Registers a handler for all paths that start with the prefix. */
	registerHandler(prefix: string, handler: PeerHandler): void {
		this.#handlers.set(prefix, handler);
	}

	/** @returns the port in use. With port 0, the operating system chooses a free one. */
	async listen(host: string, port: number): Promise<number> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
		const address = this.#server.address();
		return typeof address === 'object' && address ? address.port : port;
	}

	/**
	Stops listening and closes idle connections at once. Connections with open requests are destroyed after the grace period.

	@param graceMs grace period for open requests, in milliseconds. With 0, all connections are destroyed at once.
	*/
	async close({graceMs = 0}: {readonly graceMs?: number} = {}): Promise<void> {
		const destroyConnections = (): void => {
			for (const socket of this.#sockets) {
				socket.destroy();
			}
		};

		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		if (graceMs === 0) {
			destroyConnections();
			await closed;
			return;
		}

		this.#server.closeIdleConnections();
		const timer = setTimeout(destroyConnections, graceMs);
		await closed;
		clearTimeout(timer);
	}

	async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const path = request.url ?? '/';
		try {
			if (path === '/rpc' && request.method === 'POST') {
				await this.#handleRpc(request, response);
				return;
			}

			for (const [prefix, handler] of this.#handlers) {
				if (path.startsWith(prefix)) {
					await handler(request, response);
					return;
				}
			}

			sendJson(response, 404, {detail: `No handler for ${path}.`, remedy: 'Check that both processes run the same version.'});
		} catch (error) {
			if (response.headersSent) {
				response.destroy();
				return;
			}

			sendJson(response, 500, {detail: describeError(error)});
		}
	}

	async #handleRpc(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const body = await readBody(request, MAX_RPC_REQUEST_BYTES);
		this.#bytesRead += body.byteLength;
		const answer = await this.#rpc.receive(JSON.parse(new TextDecoder().decode(body)) as JSONRPCRequest);
		const text = answer === null ? '' : JSON.stringify(answer);
		this.#bytesWritten += text.length;
		response.writeHead(answer === null ? 204 : 200, {'content-type': 'application/json'});
		response.end(text);
	}
}
