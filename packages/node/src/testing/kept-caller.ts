/** Callers that keep their connection to an entry, and what they get. */
import http from 'node:http';
import {SystemClock} from '@yuccawood/common';
import {callerAddressOf, callerHeaders} from '@yuccawood/platform/testing';

const clock = new SystemClock();

export type Outcome = {
	readonly id: string;
	readonly status: number | undefined;
	readonly headers: http.IncomingHttpHeaders;
	readonly isComplete: boolean;
	readonly error: string | undefined;

	/** Milliseconds since the last byte of the request. */
	readonly tookMs: number;
};

export type Call = {
	readonly id: string;

	/** Path and query. */
	readonly path: string;
	readonly remainingMs: number;

	/** Numbers of tokens of the prompt, and of the answer at most. */
	readonly tokens?: {readonly prompt: number; readonly answer: number};

	/** Resolves when the last byte of the request may be sent. */
	readonly beforeBody?: Promise<void>;
	readonly onHead?: () => void;
};

/** A caller with one connection, which it keeps for as long as the entry does. */
export class KeptCaller {
	readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});
	readonly #ip: string;

	/** @param ip address of the entry */
	constructor(ip: string) {
		this.#ip = ip;
	}

	async call({id, path, remainingMs, tokens, beforeBody, onHead = () => undefined}: Call): Promise<Outcome> {
		const [host, port] = callerAddressOf(this.#ip).split(':');
		const request = http.request({
			host, port, method: 'POST', path, agent: this.#agent, headers: {...callerHeaders({requestId: id, remainingMs, tokens}), 'content-length': 1},
		});
		let status: number | undefined;
		let headers: http.IncomingHttpHeaders = {};
		let sentAt = clock.monotonic();
		let error: string | undefined;
		const ended = new Promise<Outcome>(resolve => {
			const finish = (isComplete: boolean) => (): void => {
				resolve({
					id, status, headers, isComplete, error, tookMs: clock.monotonic() - sentAt,
				});
			};

			request.on('error', ({message}) => {
				error = message;
				finish(false)();
			});
			request.on('response', response => {
				status = response.statusCode;
				headers = response.headers;
				onHead();
				response.resume();
				response.on('end', finish(true));
				response.on('error', finish(false));
			});
		});
		request.flushHeaders();
		await beforeBody;
		sentAt = clock.monotonic();
		request.end('x');
		return ended;
	}

	close(): void {
		this.#agent.destroy();
	}
}
