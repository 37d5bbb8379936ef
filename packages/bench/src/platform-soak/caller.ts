/** A caller with one kept connection for each entry. It uses a connection until the other side ends it. */
import http from 'node:http';
import {delay, type Random} from '@yuccawood/common';
import {
	callerAddressOf, callerHeaders, isSealed, REQUEST_KINDS, ROUTE_TIMEOUT_MS,
} from '@yuccawood/platform/testing';
import type {Exchange} from './types.js';

const CALLER_LIMIT_MS = ROUTE_TIMEOUT_MS + 2000;
const LONGEST_PAUSE_MS = 120;

export class Caller {
	readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});
	readonly #id: number;
	readonly #random: Random;
	readonly #now: () => number;
	#count = 0;

	constructor({id, random, now}: {readonly id: number; readonly random: Random; readonly now: () => number}) {
		this.#id = id;
		this.#random = random;
		this.#now = now;
	}

	async run(signal: AbortSignal, {entryOf, onExchange}: {
		/** Entry that the balancer chooses, and its address. */
		readonly entryOf: () => {readonly index: number; readonly ip: string};
		readonly onExchange: (exchange: Exchange) => void;
	}): Promise<void> {
		while (!signal.aborted) {
			onExchange(await this.call(entryOf()));
			await delay(this.#random.next() * LONGEST_PAUSE_MS);
		}

		this.#agent.destroy();
	}

	async call({index, ip}: {readonly index: number; readonly ip: string}, kind = REQUEST_KINDS[Math.floor(this.#random.next() * REQUEST_KINDS.length)]): Promise<Exchange> {
		const requestId = `c${this.#id}-${++this.#count}`;
		const [host, port] = callerAddressOf(ip).split(':');
		const sentAt = this.#now();
		return new Promise(resolve => {
			let body = '';
			let wasConnected = false;
			const finish = (answer: http.IncomingMessage | undefined, isComplete: boolean): void => {
				resolve({
					requestId, kind, entry: index, sentAt, endedAt: this.#now(), status: answer?.statusCode, isSealed: answer !== undefined && isSealed(answer.headers), body, isComplete, wasConnected,
				});
			};

			const request = http.request({
				host, port, agent: this.#agent, method: kind === 'once' ? 'POST' : 'GET', path: `/${kind}/${requestId}`,
				headers: callerHeaders({requestId, remainingMs: ROUTE_TIMEOUT_MS}), timeout: CALLER_LIMIT_MS,
			}, answer => {
				answer.setEncoding('utf8');
				answer.on('data', (text: string) => {
					body += text;
				});
				answer.on('end', () => {
					finish(answer, true);
				});
				answer.on('error', () => {
					finish(answer, false);
				});
			});
			request.on('socket', socket => {
				// A kept connection may close just as the request is written; only a request that was read is owed an answer.
				wasConnected = !socket.connecting && !request.reusedSocket;
				if (socket.connecting) {
					socket.once('connect', () => {
						wasConnected = true;
					});
				}
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				finish(undefined, false);
			});
			request.end(kind === 'once' ? `order ${requestId}` : undefined);
		});
	}
}
