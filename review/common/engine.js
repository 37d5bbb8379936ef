/** Stand-ins of a model engine, with its report, staged pieces and orders, and of the origin of weights. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import {CHUNKS, CHUNK_BYTES, LAYERS} from './configuration.js';

const EVENTS = 12;
const EVENT_PAUSE_MS = 60;
const LOAD_MS = 300;
const BORN = 1_700_000_000_000;

const readBody = async request => {
	const parts = [];
	for await (const part of request) {
		parts.push(part);
	}

	return Buffer.concat(parts);
};

const send = (response, status, value, headers = {}) => {
	const body = Buffer.isBuffer(value) ? value : Buffer.from(value === undefined ? '' : JSON.stringify(value));
	response.writeHead(status, {'content-length': body.byteLength, ...headers});
	response.end(body);
};

/** Bytes of a piece, which depend only on version and index. */
const pieceOf = (version, index) => Buffer.alloc(CHUNK_BYTES, `piece ${index} of version ${version};`);

const digestsOf = version => Array.from({length: CHUNKS}, (_, index) => createHash('sha256').update(pieceOf(version, index)).digest('hex'));

export class Engine {
	#options;
	#version = 1;
	#staged = new Map(Array.from({length: CHUNKS}, (_, index) => [index, pieceOf(1, index)]));
	#orders = 0;
	#isBusy = false;
	#running = 0;
	#waiting = [];
	#server = http.createServer(async (request, response) => {
		this.#answer(request, await readBody(request), response);
	});

	/**
	@param onRun called with the id of each request as it begins to run, and the version
	@param onReport called when what the engine tells of itself changes
	*/
	constructor({id, model, onRun, onReport}) {
		this.#options = {
			id, model, onRun, onReport,
		};
		this.#server.keepAliveTimeout = 30_000;
	}

	/** What the engine tells of itself, also in the store. */
	get report() {
		return {
			stage: 'both', models: [{name: this.#options.model, version: this.#version, adapters: []}], layers: {source: 0, target: LAYERS, version: this.#version}, born: BORN,
		};
	}

	/** @returns the address, `IP:port` */
	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#answer({method, url, headers}, body, response) {
		const {pathname, searchParams: query} = new URL(url, 'http://engine');
		if (pathname === '/report') {
			send(response, 200, {
				...this.report, busy: this.#isBusy, seq: this.#orders, waiting: this.#waiting.length, running: this.#running, kvUsed: 0, kvTotal: 685_000, handles: 0, pace: 1,
			});
		} else if (method === 'PUT' && pathname.startsWith('/stage-put/')) {
			this.#staged.set(Number(query.get('quantity')), body);
			send(response, 200);
		} else if (pathname.startsWith('/stage-get/')) {
			const piece = this.#staged.get(Number(query.get('quantity')));
			send(response, piece ? 200 : 404, piece);
		} else if (method === 'POST' && pathname === '/order') {
			this.#order(JSON.parse(body), response);
		} else {
			this.#take(headers, response);
		}
	}

	#order({version, expected}, response) {
		if (this.#isBusy || (expected !== undefined && expected !== this.#orders)) {
			send(response, 409);
			return;
		}

		if (version === this.#version) {
			send(response, 200);
			return;
		}

		this.#orders++;
		this.#isBusy = true;
		send(response, 202);
		this.#loadWhenIdle(version);
	}

	/** Loading happens after what is running, without accepting anything new. */
	#loadWhenIdle(version) {
		if (this.#running > 0) {
			setTimeout(() => {
				this.#loadWhenIdle(version);
			}, 10);
			return;
		}

		setTimeout(() => {
			this.#version = version;
			this.#isBusy = false;
			this.#options.onReport(this.report);
			for (const run of this.#waiting.splice(0)) {
				run();
			}
		}, LOAD_MS);
	}

	#take(headers, response) {
		const {id} = this.#options;
		const expectedVersion = headers['yuccawood-expect-version'];
		if (headers['yuccawood-expect-instance'] !== id || (expectedVersion !== undefined && Number(expectedVersion) !== this.#version)) {
			send(response, 421, undefined, {'yuccawood-instance-id': id});
			return;
		}

		const run = () => {
			if (!response.destroyed) {
				this.#run(headers, response);
			}
		};

		if (this.#isBusy) {
			this.#waiting.push(run);
		} else {
			run();
		}
	}

	#run(headers, response) {
		const requestId = headers['yuccawood-attempt-id'];
		this.#running++;
		this.#options.onRun({requestId, worker: this.#options.id, version: this.#version});
		response.once('close', () => {
			this.#running--;
		});
		response.writeHead(200, {
			'content-type': 'text/event-stream', 'yuccawood-attempt-id': requestId, 'yuccawood-server-seal': `seal-${this.#options.id}`, 'yuccawood-weight-versions': this.#version,
			'yuccawood-instance-load': `${this.#running},${this.#waiting.length},16`,
		});
		this.#writeEvents(response, Number(headers['last-event-id'] ?? 0) + 1);
	}

	#writeEvents(response, number) {
		if (response.destroyed) {
			return;
		}

		if (number > EVENTS) {
			response.end();
			return;
		}

		response.write(`id: ${number}\ndata: piece ${number}\n\n`);
		setTimeout(() => {
			this.#writeEvents(response, number + 1);
		}, EVENT_PAUSE_MS);
	}
}

export class Origin {
	#server;

	constructor({model}) {
		this.#server = http.createServer((request, response) => {
			const {pathname, searchParams: query} = new URL(request.url, 'http://origin');
			const version = Number(query.get('version'));
			if (pathname === `/manifest/${model}`) {
				send(response, 200, {
					model, version, chunkBytes: CHUNK_BYTES, layers: LAYERS, digests: digestsOf(version),
				});
			} else if (pathname === `/piece/${model}`) {
				send(response, 200, pieceOf(version, Number(query.get('quantity'))));
			} else {
				send(response, 404);
			}
		});
	}

	/** @returns the address, `IP:port` */
	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}
