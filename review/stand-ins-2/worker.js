/** Stand-in of a model worker and of the origin of its weights. Its streams have as many events, as far apart, as a request's query says. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {bodyOf, closeServer, listen} from './http-tools.js';

export const MODEL = 'daka510000';
export const SLOTS = 16;
const LAYERS = 16;
const PIECES = 48;
const PIECE_BYTES = 49_152;

const pieceOf = (version, index) => Buffer.alloc(PIECE_BYTES, `${version}.${index} `);
const digestOf = piece => createHash('sha256').update(piece).digest('hex');

const sendJson = (response, status, value, headers = {}) => {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(JSON.stringify(value));
};

/** An event of a stream, as every worker writes it. */
export const eventText = number => `id: ${number}\ndata: tokens of event ${number}\n\n`;

/** The service that hands out the weights. */
export class Origin {
	#digests = new Map();
	#server = http.createServer((request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://origin');
		const version = Number(searchParams.get('version') ?? 1);
		if (pathname === `/manifest/${MODEL}`) {
			sendJson(response, 200, {
				model: MODEL, version, chunkBytes: PIECE_BYTES, layers: LAYERS, digests: this.#digestsOf(version),
			});
		} else if (pathname === `/piece/${MODEL}`) {
			response.end(pieceOf(version, Number(searchParams.get('quantity'))));
		} else {
			sendJson(response, 404, {});
		}
	});
	address;

	async start(ip) {
		this.address = `${ip}:${await listen(this.#server, ip)}`;
	}

	async close() {
		await closeServer(this.#server);
	}

	#digestsOf(version) {
		const digests = this.#digests.get(version) ?? Array.from({length: PIECES}, (_, index) => digestOf(pieceOf(version, index)));
		this.#digests.set(version, digests);
		return digests;
	}
}

export class ModelWorker {
	/** Answers that it has begun. */
	answers = 0;
	#id;
	#zone;
	#service;
	#note;
	#eventsPerWrite;
	#textOf;
	#running = 0;
	#stage = new Map(Array.from({length: PIECES}, (_, index) => [index, pieceOf(1, index)]));
	#bornAt = Date.now();
	#server = http.createServer((request, response) => {
		this.#serve(request, response);
	});
	address;

	/**
	@param options.note called with what happens to a request: its id, `run`, `complete` or `dropped`, and the first event
	@param options.eventsPerWrite events that it writes at a time
	@param options.textOf text of an event, by its number and the number of the answer
	*/
	constructor({id, zone, service, note, eventsPerWrite = 1, textOf = eventText}) {
		this.#id = id;
		this.#zone = zone;
		this.#service = service;
		this.#note = note;
		this.#eventsPerWrite = eventsPerWrite;
		this.#textOf = textOf;
	}

	async start(ip) {
		this.address = `${ip}:${await listen(this.#server, ip)}`;
	}

	async close() {
		await closeServer(this.#server);
	}

	/** What it says of itself in the store. */
	get beat() {
		return {
			service: this.#service, address: this.address, zone: this.#zone, version: 'v1', slots: SLOTS, state: 'ready', coldLeftMs: 0, ...this.#state, seq: 1,
		};
	}

	get #state() {
		return {
			stage: 'both', models: [{name: MODEL, version: 1, adapters: []}], layers: {source: 0, target: LAYERS, version: 1}, born: this.#bornAt,
		};
	}

	async #serve(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://worker');
		const index = Number(searchParams.get('quantity'));
		if (pathname === '/report') {
			sendJson(response, 200, {
				...this.#state, busy: false, seq: 0, waiting: 0, running: this.#running, kvUsed: 0, kvTotal: 685_000 * LAYERS, handles: 0, pace: 1,
			});
		} else if (pathname === `/stage-get/${MODEL}` && this.#stage.has(index)) {
			response.end(this.#stage.get(index));
		} else if (pathname.startsWith('/stage-') || pathname === '/order') {
			sendJson(response, 404, {});
		} else if (pathname === '/health') {
			sendJson(response, 200, {}, {'yuccawood-instance-id': this.#id, 'yuccawood-instance-load': this.#load});
		} else {
			await this.#stream(request, response, searchParams);
		}
	}

	get #load() {
		return `${this.#running},0,${SLOTS}`;
	}

	async #stream(request, response, query) {
		const {headers} = request;
		const expectedVersion = headers['yuccawood-expect-version'];
		if (headers['yuccawood-expect-instance'] !== this.#id || (expectedVersion !== undefined && Number(expectedVersion) !== 1)) {
			sendJson(response, 421, {}, {'yuccawood-instance-id': this.#id});
			return;
		}

		await bodyOf(request);
		const id = headers['yuccawood-attempt-id'];
		this.answers++;
		const answer = this.answers;
		const first = Number(headers['last-event-id'] ?? 0) + 1;
		const last = Number(query.get('events'));
		this.#running++;
		this.#note(id, 'run', first);
		response.writeHead(200, {
			'content-type': 'text/event-stream', 'yuccawood-attempt-id': id, 'yuccawood-server-seal': `${this.#id}.${id}`, 'yuccawood-weight-versions': '1', 'yuccawood-instance-load': this.#load,
		});
		response.flushHeaders();
		for (let next = first; next <= last && !response.destroyed; next += this.#eventsPerWrite) {
			const numbers = Array.from({length: Math.min(this.#eventsPerWrite, last - next + 1)}, (_, offset) => next + offset);
			await sleep(numbers.length * Number(query.get('ms')));
			response.write(numbers.map(number => this.#textOf(number, answer)).join(''));
		}

		this.#running--;
		this.#note(id, response.destroyed ? 'dropped' : 'complete', first);
		response.end();
	}
}

/** The configuration of the operator: three routes of streams to one service of model workers. */
export const configuration = originAddress => ({
	version: 7,
	routes: ['guide', 'help', 'tip'].map((name, index) => ({
		name, host: 'streams.example', prefix: `/${name}/`, kind: 'stream', timeoutMs: 6000, goalMs: index === 2 ? 300 : 400, priority: 1, service: 'pool', attempts: 2,
		anonymous: false, sticky: true, streamResume: true, gapTargetMs: 300,
	})),
	services: [
		{
			name: 'pool', healthPath: '/health', maxConns: 264, protocol: 'h1', tls: false,
			/* eslint-disable camelcase */
			engine: {
				slots: SLOTS, kvTokens: 685_000, kvBytes: 327_680, linkMbps: 400_000, stride: 6, models: [{
					name: MODEL, pace: 1, loadS: 4, warmS: 0.3,
				}], mb: 297_000,
				step_ms: 7.4, per_seq_ms: 0.0387, context_per_k: 0.0203, read_per_s: 31_900, pairs_per_m: 0.733, chunk: 2048, report_lag_ms: 200,
				usual: {prompt: 973, answer: 106}, layers: LAYERS, layer_mb: 4540, act_bytes: 16_384, chunks: PIECES, chunkBytes: PIECE_BYTES,
			},
			/* eslint-enable camelcase */
		},
		{
			name: 'weights', origin: originAddress, zone: 'biella', linkMbps: 15, maxConns: 48,
		},
	],
	limits: {
		headerBytes: 16_384, bodyBytes: 4_194_304, headerMs: 3000, idleMs: 15_000,
	},
	tenants: [{name: 'bozi300', apiKeys: ['jnbanfqasnmgkcuyj8pj'], priority: 1}],
});
