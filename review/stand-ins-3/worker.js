/** Stand-in of a plain worker: one HTTP server on a loopback port, and its entry in the store. */
import {createHash} from 'node:crypto';
import http from 'node:http';
import {readBody, sleep} from './http-tools.js';

const BEAT_MS = 1200;
const MISSED_BEATS = 3;

export class Worker {
	/** Requests that began to run, with their times. */
	runs = [];
	/** Streams that it began, with the last event that was sent and whether all were. */
	streams = [];
	/** Requests that this worker refused, with their status. */
	refused = [];
	state = 'ready';
	#options;
	#running = 0;
	#seq = 0;
	#server;
	#beatTimer;

	/**
	@param options `id`, `service`, `port`, `store`, `workMs`, and `onBeat`, which may keep a beat from being written at once:
	it gets the worker and the text, and returns whether it has taken the write over; `answerOf` gives status and reason of the answer to
	a run, and `sealNameOf` the name of its header with the seal, in which a byte may be spoilt; `isFull` says whether others hold all slots;
	`planOf` gives `{events, gapMs, pauseAfter, pauseMs}` for a request that is answered with a stream: the newest stream pauses
	after that event, as it does when it is preempted
	*/
	constructor(options) {
		this.#options = {
			slots: 6, workMs: 40, zone: 'zone-a', onBeat: () => false, isFull: () => false, planOf: () => undefined,
			answerOf: () => ({status: 200, reason: 'OK'}), sealNameOf: () => 'yuccawood-server-seal', ...options,
		};
		this.#server = http.createServer((request, response) => {
			this.#handle(request, response);
		});
		this.#server.keepAliveTimeout = 15_000;
	}

	get id() {
		return this.#options.id;
	}

	get address() {
		return `127.0.0.1:${this.#options.port}`;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(this.#options.port, '127.0.0.1', resolve);
		});
		this.born = Date.now();
		this.beat();
	}

	/** What the worker says of itself now. */
	get entry() {
		const {service, zone, slots} = this.#options;
		return {
			service, address: this.address, zone, version: 'v1', slots, state: this.state, coldLeftMs: 0, seq: this.#seq, born: this.born,
		};
	}

	/** Writes the entry now, and at intervals from now on. */
	beat() {
		const {store, onBeat, id} = this.#options;
		clearTimeout(this.#beatTimer);
		this.#seq++;
		this.lastBeatAt = Date.now();
		const text = JSON.stringify(this.entry);
		if (!onBeat({worker: this, text})) {
			store.putBeat(`servers/${id}`, text, BEAT_MS * MISSED_BEATS);
		}

		this.#beatTimer = setTimeout(() => {
			this.beat();
		}, BEAT_MS);
	}

	/** Reports that it will leave. */
	drain() {
		this.state = 'draining';
		this.beat();
	}

	/** Takes its entry away and goes on serving. */
	leaveList() {
		clearTimeout(this.#beatTimer);
		this.#options.store.remove(`servers/${this.id}`);
	}

	/** Ends as a process does: its connections close. */
	exit() {
		this.leaveList();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(request, response) {
		const id = request.headers['yuccawood-attempt-id'];
		const at = Date.now();
		const own = {
			'yuccawood-instance-id': this.id,
			...(id === undefined ? {} : {'yuccawood-attempt-id': id}),
		};
		const body = await readBody(request);
		const expected = request.headers['yuccawood-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			this.refused.push({at, id, status: 421});
			response.writeHead(421, {...own, 'content-length': 0});
			response.end();
			return;
		}

		if (id === undefined) {
			response.writeHead(400, {...own, 'yuccawood-not-executed': '1', 'content-length': 0});
			response.end();
			return;
		}

		if (this.#running >= this.#options.slots || this.#options.isFull()) {
			this.refused.push({at, id, status: 503});
			response.writeHead(503, {...own, 'yuccawood-not-executed': '1', 'content-length': 0});
			response.end();
			return;
		}

		this.#running++;
		this.runs.push({
			at, id, service: this.#options.service, method: request.method, path: request.url, tenant: request.headers['yuccawood-tenant'], body: body.toString('latin1'),
		});
		const plan = this.#options.planOf(request);
		if (plan) {
			await this.#stream(request, response, {own, id, plan});
			this.#running--;
			return;
		}

		setTimeout(() => {
			this.#running--;
			const text = `done by ${this.id} for ${id}`;
			const seal = createHash('sha256').update(`${this.id} ${id} ${text}`).digest('hex').slice(0, 24);
			const {status, reason} = this.#options.answerOf();
			response.writeHead(status, reason, {
				...own, [this.#options.sealNameOf()]: seal, 'yuccawood-instance-load': `${this.#running},0,${this.#options.slots}`, 'content-length': text.length,
			});
			response.end(text);
		}, this.#options.workMs);
	}

	/** Sends events until the plan is done or the channel closes. */
	async #stream(request, response, {own, id, plan: {events, gapMs, pauseAfter, pauseMs}}) {
		const stream = {
			id, startedAt: Date.now(), endedAt: undefined, events: 0, isWhole: false,
		};
		this.streams.push(stream);
		response.writeHead(200, {...own, 'yuccawood-server-seal': createHash('sha256').update(`${this.id} ${id}`).digest('hex').slice(0, 24), 'content-type': 'text/event-stream'});
		for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= events && !response.destroyed; event++) {
			const isPreempted = event === pauseAfter + 1 && this.streams.at(-1) === stream;
			await sleep(gapMs + (isPreempted ? pauseMs : 0));
			if (!response.destroyed) {
				response.write(`id: ${event}\ndata: event ${event} of ${id}\n\n`);
				stream.events = event;
			}
		}

		stream.isWhole = !response.destroyed;
		stream.endedAt = Date.now();
		response.end();
	}
}
