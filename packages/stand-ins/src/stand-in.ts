/** Base class of the stand-ins: HTTP server, faults, log, counters and simulated restarts. */
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {delay, readBody, sendJson} from '@yuccawood/common';
import {FAILURE_STATUS, type FailureBody} from '@yuccawood/interfaces';

/** Event in the log of a stand-in. `index` counts from 0; `at` is in milliseconds since the epoch. */
export type LogEntry = {
	readonly [field: string]: unknown;
	readonly index: number;
	readonly at: number;
	readonly event: string;
	readonly requestId?: string;
};

/** HTTP request with its parsed URL, and its response. */
export type Call = {
	readonly request: http.IncomingMessage;
	readonly response: http.ServerResponse;
	readonly url: URL;
	readonly method: string;
};

/** Faults that every stand-in can simulate. */
export type CommonFaults = {
	/** Set to a time in milliseconds to close the listener and all connections for that time. It resets itself to 0. */
	downMs: number;

	/** Set to true to close all connections once. It resets itself to false. */
	breakConnections: boolean;
};

const CONTROL_BODY_LIMIT_BYTES = 8 * 1024 * 1024;

export abstract class StandIn<Faults extends CommonFaults> {
	readonly #log: LogEntry[] = [];
	readonly #counters = new Map<string, number>();
	readonly #sockets = new Set<Socket>();
	#server: http.Server | undefined;
	#isClosed = false;

	protected constructor(readonly faults: Faults) {
		// Subclasses only pass the initial faults.
	}

	get log(): readonly LogEntry[] {
		return this.#log;
	}

	/** Number of calls by kind, and other counters of the stand-in. */
	get counters(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#counters);
	}

	/** @returns the address, `IP:port`. */
	async listen(host = '127.0.0.1', port = 0): Promise<string> {
		const server = http.createServer((request, response) => {
			void this.#answer(request, response);
		});
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.setNoDelay(true);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		this.#server = server;
		this.#isClosed = false;
		const {address, port: bound} = server.address() as AddressInfo;
		return `${address}:${bound}`;
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		await this.#stopListening();
	}

	/** Changes the given faults. Faults that are actions, such as `downMs`, are carried out at once. */
	setFaults(patch: Partial<Faults>): void {
		Object.assign(this.faults, patch);
		this.record('faults', {patch});
		if (this.faults.breakConnections) {
			this.faults.breakConnections = false;
			this.#breakConnections();
		}

		if (this.faults.downMs > 0) {
			const {downMs} = this.faults;
			this.faults.downMs = 0;
			void this.goDown(downMs);
		}
	}

	/** Closes all connections and refuses new ones for the time, as a process that restarts does. */
	async goDown(milliseconds: number): Promise<void> {
		const {address, port} = this.#server!.address() as AddressInfo;
		this.record('down', {milliseconds});
		this.onDown();
		await this.#stopListening();
		await delay(milliseconds);
		if (!this.#isClosed) {
			await this.listen(address, port);
			this.record('up');
		}
	}

	protected record(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
		this.#log.push({
			index: this.#log.length, at: Date.now(), event, ...fields,
		});
	}

	protected count(name: string, amount = 1): void {
		this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
	}

	/** Called when the stand-in goes down. Subclasses override it to drop the state that a restart loses. */
	protected onDown(): void {
		// By default there is no such state.
	}

	/** Answers a request to a control path of the subclass. @returns false if the path is no control path. */
	protected async handleControl(_call: Call): Promise<boolean> {
		return false;
	}

	protected abstract handle(call: Call): Promise<void>;

	async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://stand-in');
		const call = {
			request, response, url, method: request.method ?? 'GET',
		};
		response.on('error', () => {
			response.destroy();
		});
		try {
			if (!await this.#answerControl(call) && !await this.handleControl(call)) {
				await this.handle(call);
			}
		} catch (error) {
			this.record('error', {path: url.pathname, detail: String(error)});
			if (response.headersSent) {
				response.destroy();
				return;
			}

			sendFailure(response, {kind: 'rejected', detail: String(error), remedy: 'Correct the call.'});
		}
	}

	async #answerControl({request, response, url, method}: Call): Promise<boolean> {
		switch (`${method} ${url.pathname}`) {
			case 'POST /faults': {
				const patch = JSON.parse(new TextDecoder().decode(await readBody(request, CONTROL_BODY_LIMIT_BYTES))) as Partial<Faults>;
				const unknown = Object.keys(patch).filter(name => !Object.hasOwn(this.faults, name));
				if (unknown.length > 0) {
					sendFailure(response, {kind: 'rejected', detail: `Unknown faults: ${unknown.join(', ')}.`, remedy: `Use ${Object.keys(this.faults).join(', ')}.`});
					return true;
				}

				sendJson(response, 200, {...this.faults, ...patch});
				this.setFaults(patch);
				return true;
			}

			case 'GET /faults': {
				sendJson(response, 200, this.faults);
				return true;
			}

			case 'GET /log': {
				sendJson(response, 200, this.#log.slice(Number(url.searchParams.get('after') ?? '0')));
				return true;
			}

			case 'GET /counters': {
				sendJson(response, 200, this.counters);
				return true;
			}

			default: {
				return false;
			}
		}
	}

	#breakConnections(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async #stopListening(): Promise<void> {
		const server = this.#server;
		if (!server?.listening) {
			return;
		}

		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
			this.#breakConnections();
		});
	}
}

/** Sends the failure as JSON with the status of its kind. */
export const sendFailure = (response: http.ServerResponse, body: FailureBody): void => {
	sendJson(response, FAILURE_STATUS[body.kind], body);
};

/** Sends status 200 with the value as JSON, or 204 if there is no value. */
export const sendSuccess = (response: http.ServerResponse, value?: unknown): void => {
	if (value === undefined) {
		response.writeHead(204).end();
		return;
	}

	sendJson(response, 200, value);
};

/** Returns a signal that aborts when the connection closes before the response has been sent completely. */
export const disconnectSignal = (response: http.ServerResponse): AbortSignal => {
	const controller = new AbortController();
	response.on('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
};
