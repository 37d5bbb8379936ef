/** Client with kept channels to one entry. */
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {HOST, KEY, PATH} from './configuration.js';

let lastId = 0;

export class Caller {
	#agent;
	#address;

	/** @param channels most channels that are open at the same time */
	constructor({address, channels = 1}) {
		this.#address = address;
		this.#agent = new http.Agent({keepAlive: true, maxSockets: channels});
	}

	/**
	Sends one request.

	@returns its id, the times at which it was sent and ended on the steady clock, and the answer. Without a complete answer,
	`status` is undefined and `error` tells why.
	*/
	async call({path = PATH, method = 'POST', body = 'order', limitMs = 4000} = {}) {
		const requestId = `c${String(++lastId).padStart(8, '0')}`;
		const sentAt = performance.now();
		return new Promise(resolve => {
			let text = '';
			const finish = ({status, headers = {}, error}) => {
				clearTimeout(timer);
				resolve({
					requestId, sentAt, endedAt: performance.now(), isReused: request.reusedSocket, status, error, text, seal: headers['yuccawood-server-seal'],
				});
			};

			const request = http.request({
				...this.#address,
				agent: this.#agent,
				method,
				path,
				headers: {
					host: HOST, authorization: `Token ${KEY}`, 'yuccawood-attempt-id': requestId, 'yuccawood-deadline-ms': limitMs, 'content-length': body.length,
				},
			}, response => {
				response.setEncoding('latin1');
				response.on('data', part => {
					text += part;
				});
				response.on('end', () => {
					finish({status: response.statusCode, headers: response.headers});
				});
				response.on('error', error => {
					finish({error: error.code});
				});
			});
			const timer = setTimeout(() => {
				finish({error: 'time limit'});
				request.destroy();
			}, limitMs + 500);
			request.on('error', error => {
				finish({error: error.code ?? error.message});
			});
			request.end(body);
		});
	}

	/** Sends a request each `gapMs` until the signal aborts. Resolves with all exchanges. */
	async keepCalling(signal, {gapMs, ...call}) {
		const exchanges = [];
		while (!signal.aborted) {
			exchanges.push(this.call(call));
			await pause(gapMs);
		}

		return Promise.all(exchanges);
	}

	close() {
		this.#agent.destroy();
	}
}
