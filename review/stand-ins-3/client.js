/** Stand-in of a client that keeps channels open for many requests. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import {sleep} from './http-tools.js';

export class Client {
	/** All attempts: `id`, `sentAt`, `endedAt`, `status` (undefined without a complete answer), `body`, `hasSeal`. */
	attempts = [];
	#port;
	#agent = new http.Agent({keepAlive: true, maxSockets: 64});

	constructor(port) {
		this.#port = port;
	}

	close() {
		this.#agent.destroy();
	}

	/** Sends one request. Resolves when it has ended. */
	async send({method = 'POST', host, path, body = '', key, deadlineMs = 4000}) {
		const attempt = {
			id: randomBytes(8).toString('hex'), method, path, requestBody: body, sentAt: Date.now(), endedAt: undefined, status: undefined, body: '', hasSeal: false,
		};
		this.attempts.push(attempt);
		await new Promise(resolve => {
			const request = http.request({
				host: '127.0.0.1', port: this.#port, agent: this.#agent, method, path,
				headers: {
					host, 'yuccawood-attempt-id': attempt.id, 'yuccawood-deadline-ms': String(deadlineMs),
					...(key === undefined ? {} : {authorization: `Token ${key}`}),
					...(method === 'GET' ? {} : {'content-length': Buffer.byteLength(body)}),
				},
			}, response => {
				response.setEncoding('latin1');
				response.on('data', text => {
					attempt.body += text;
				});
				response.once('end', () => {
					attempt.status = response.complete ? response.statusCode : undefined;
					attempt.hasSeal = response.headers['yuccawood-server-seal'] !== undefined;
				});
				response.once('close', resolve);
				response.once('error', resolve);
			});
			const timer = setTimeout(() => {
				request.destroy();
			}, deadlineMs);
			request.once('error', resolve);
			request.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
			request.end(method === 'GET' ? undefined : body);
		});
		attempt.endedAt = Date.now();
		return attempt;
	}

	/** Sends requests at a steady rate until the signal aborts. `next` gives the options of the request with this number. */
	async load(perSecond, next, signal) {
		const sent = [];
		const startedAt = Date.now();
		for (let count = 0; !signal.aborted; count++) {
			sent.push(this.send(next(count)));
			await sleep(Math.max(0, startedAt + ((count + 1) * 1000 / perSecond) - Date.now()));
		}

		await Promise.all(sent);
	}
}
