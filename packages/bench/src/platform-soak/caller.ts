/** A caller with a kept connection. It stays with an entry until the connection has ended, then asks the balancer again. */
import http from 'node:http';
import {delay, type Random} from '@yuccawood/common';
import {
	callerAddressOf, callerHeaders, isUpstreamResponse, REQUEST_KINDS, ROUTE_TIMEOUT_MS, type RequestKind,
} from '@yuccawood/platform/testing';
import type {Exchange} from './types.js';

const AFTER_TIMEOUT_MS = 2000;
const LONGEST_PAUSE_MS = 120;

/** Time limits of hasty callers, and the share of their requests whose caller leaves before its limit. */
const HASTY_LIMITS_MS = {from: 150, to: 1000} as const;
const LEAVING_SHARE = 0.5;

/** Bytes of an answer that are kept; more come only in answers without an end. */
const MAX_BODY_LENGTH = 1024 * 1024;

type Entry = {readonly index: number; readonly ip: string};

export class Caller {
	readonly #agent = new http.Agent({keepAlive: true, maxSockets: 1});
	readonly #id: number;
	readonly #random: Random;
	readonly #now: () => number;
	readonly #promptOf: (requestId: string, kind: RequestKind) => readonly string[];
	readonly #isHasty: boolean;
	readonly #streamTimeoutMs: number;
	#count = 0;

	/** Entry at the other end of the kept connection. */
	#connected: Entry | undefined;

	constructor({id, random, now, promptOf, isHasty = false, streamTimeoutMs = ROUTE_TIMEOUT_MS}: {
		readonly id: number;
		readonly random: Random;
		readonly now: () => number;
		readonly promptOf: (requestId: string, kind: RequestKind) => readonly string[];

		/** Whether the caller has short time limits and closes its connection when they pass, or earlier. */
		readonly isHasty?: boolean;
		readonly streamTimeoutMs?: number;
	}) {
		this.#isHasty = isHasty;
		this.#streamTimeoutMs = streamTimeoutMs;
		this.#promptOf = promptOf;
		this.#id = id;
		this.#random = random;
		this.#now = now;
	}

	async run(signal: AbortSignal, {entryOf, onExchange}: {
		/** Entry that the balancer chooses, and its address. */
		readonly entryOf: () => Entry;
		readonly onExchange: (exchange: Exchange) => void;
	}): Promise<void> {
		while (!signal.aborted) {
			onExchange(await this.call(this.#connected ?? entryOf()));
			await delay(this.#random.next() * LONGEST_PAUSE_MS);
		}

		this.close();
	}

	close(): void {
		this.#agent.destroy();
	}

	async call(entry: Entry, kind = REQUEST_KINDS[Math.floor(this.#random.next() * REQUEST_KINDS.length)]): Promise<Exchange> {
		const {index, ip} = entry;
		const requestId = `c${this.#id}-${++this.#count}`;
		const [host, port] = callerAddressOf(ip).split(':');
		const timeoutMs = kind === 'stream' ? this.#streamTimeoutMs : ROUTE_TIMEOUT_MS;
		const {limitMs, leavesAfterMs} = this.#callerLimits(timeoutMs);
		const sentAt = this.#now();
		return new Promise(resolve => {
			let body = '';
			let connection: Exchange['connection'] = 'none';
			let writtenAt = sentAt;
			let leftAt: number | undefined;
			let leaving: NodeJS.Timeout | undefined;
			const finish = (answer: http.IncomingMessage | undefined, isComplete: boolean): void => {
				clearTimeout(leaving);
				resolve({
					requestId, kind, entry: index, sentAt, endedAt: this.#now(), writtenAt, timeoutMs, limitMs, leftAt,
					status: answer?.statusCode, isSealed: answer !== undefined && isUpstreamResponse(answer.headers), body, isComplete, connection,
				});
			};

			const request = http.request({
				host, port, agent: this.#agent, method: kind === 'once' ? 'POST' : 'GET', path: `/${kind}/${requestId}`,
				headers: callerHeaders({requestId, remainingMs: limitMs, promptParts: this.#promptOf(requestId, kind)}), timeout: timeoutMs + AFTER_TIMEOUT_MS,
			}, answer => {
				answer.setEncoding('utf8');
				answer.on('data', (text: string) => {
					body += body.length < MAX_BODY_LENGTH ? text : '';
				});
				answer.on('end', () => {
					finish(answer, true);
				});
				answer.on('error', () => {
					finish(answer, false);
				});
			});
			request.on('socket', socket => {
				this.#connected = entry;
				if (!request.reusedSocket) {
					socket.once('close', () => {
						this.#connected = undefined;
					});
				}

				if (request.reusedSocket) {
					connection = 'kept';
				} else if (!socket.connecting) {
					connection = 'new';
				}

				if (socket.connecting) {
					socket.once('connect', () => {
						connection = 'new';
						writtenAt = this.#now();
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
			if (leavesAfterMs !== undefined) {
				leaving = setTimeout(() => {
					leftAt = this.#now();
					request.destroy();
				}, leavesAfterMs);
			}
		});
	}

	/** The time limit to send, and the time after which to leave; a caller that is not hasty waits for the answer. */
	#callerLimits(timeoutMs: number): {readonly limitMs: number; readonly leavesAfterMs?: number} {
		if (!this.#isHasty) {
			return {limitMs: timeoutMs};
		}

		const {from, to} = HASTY_LIMITS_MS;
		const limitMs = Math.round(from + (this.#random.next() * (to - from)));
		return {limitMs, leavesAfterMs: this.#random.next() < LEAVING_SHARE ? this.#random.next() * limitMs : limitMs};
	}
}
