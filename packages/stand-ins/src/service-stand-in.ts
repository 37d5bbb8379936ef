/** Stand-in for an ordinary HTTP service. It answers every path and records every call that it runs. */
import {delay, readBody, sha256} from '@yuccawood/common';
import {REQUEST_ID_HEADER} from '@yuccawood/interfaces';
import {
	disconnectSignal, StandIn, type Call, type CommonFaults,
} from './stand-in.js';

export type ServiceFaults = CommonFaults & {
	/** Additional time that each call takes. */
	delayMs: number;

	/** Number of next calls that run, but whose connection is closed before the answer. */
	loseAnswers: number;

	/** Number of next calls whose connection is closed before they run. */
	resetCalls: number;

	/** If above 0, the answer is sent in ten parts with this pause after each. */
	slowPartMs: number;
};

export type ServiceOptions = {
	/** Time that each call takes. */
	readonly workMs?: number;

	/** Name that the service has in its answers. */
	readonly name?: string;
};

/** Body of an answer. It describes the request, so a caller can detect an answer to another request. */
export type ServiceAnswer = {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly requestId: string;
	readonly idempotencyKey: string;

	/** SHA-256 of the body of the call. */
	readonly bodyHash: string;

	/** Number of calls run before this one. */
	readonly sequence: number;
};

const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
/** Number of parts in which a slow answer is sent. */
const SLOW_PARTS = 10;

export class ServiceStandIn extends StandIn<ServiceFaults> {
	readonly #workMs: number;
	readonly #name: string;
	#sequence = 0;

	constructor({workMs = 0, name = 'service'}: ServiceOptions = {}) {
		super({
			downMs: 0, breakConnections: false, delayMs: 0, loseAnswers: 0, resetCalls: 0, slowPartMs: 0,
		});
		this.#workMs = workMs;
		this.#name = name;
	}

	protected override async handle(call: Call): Promise<void> {
		const {request, response, url, method} = call;
		const requestId = header(call, REQUEST_ID_HEADER);
		const idempotencyKey = header(call, 'idempotency-key');
		if (this.faults.resetCalls > 0) {
			this.faults.resetCalls--;
			this.record('reset', {requestId, idempotencyKey});
			response.destroy();
			return;
		}

		const body = await readBody(request, BODY_LIMIT_BYTES);
		const path = `${url.pathname}${url.search}`;
		const answer: ServiceAnswer = {
			service: this.#name, method, path, requestId, idempotencyKey, bodyHash: sha256(body), sequence: this.#sequence++,
		};
		this.count('run');
		this.record('run', answer);
		if (this.#workMs + this.faults.delayMs > 0) {
			await delay(this.#workMs + this.faults.delayMs);
		}

		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers--;
			this.record('answer-lost', {requestId, idempotencyKey});
			response.destroy();
			return;
		}

		await this.#send(response, new TextEncoder().encode(JSON.stringify(answer)));
	}

	async #send(response: Call['response'], body: Uint8Array): Promise<void> {
		response.writeHead(200, {'content-type': 'application/json', 'content-length': body.byteLength});
		const {slowPartMs} = this.faults;
		if (slowPartMs === 0) {
			response.end(body);
			return;
		}

		const disconnected = disconnectSignal(response);
		const size = Math.ceil(body.byteLength / SLOW_PARTS);
		for (let offset = 0; offset < body.byteLength && !disconnected.aborted; offset += size) {
			response.write(body.subarray(offset, offset + size));
			await delay(slowPartMs, disconnected);
		}

		response.end();
	}
}

const header = ({request}: Call, name: string): string => {
	const value = request.headers[name];
	return (Array.isArray(value) ? value[0] : value) ?? '';
};
