/** Stand-in of a worker of a plain service. It reports each request that it runs. */
import http from 'node:http';

const EVENT_PAUSE_MS = 100;

export class Worker {
	#options;
	#isDown = false;
	#running = new Set();
	#waiting = [];
	#sockets = new Set();
	#server = http.createServer((request, response) => {
		const parts = [];
		request.on('data', part => {
			parts.push(part);
		});
		request.on('end', () => {
			this.#take(request, parts, response);
		});
	});

	/**
	@param id of the worker, which entries expect
	@param workMs time that a request takes which is no stream
	@param events number of events of a stream, one each 100 ms. Paths that begin with `/stream/` are streams
	@param slots most requests that run at the same time
	@param queue most requests that wait for a slot; the others are refused
	@param crashAfterMs returns the time after the first event at which the body crashes the worker; undefined if it doesn't
	@param onRun called with the id of each request as it begins to run, its body and its size
	@param onCrash called when a request has crashed the worker
	*/
	constructor({
		id, workMs = 20, events = 12, slots = 16, queue = 4, crashAfterMs = () => undefined, onRun, onCrash,
	}) {
		this.#options = {
			id, workMs, events, slots, queue, crashAfterMs, onRun, onCrash,
		};
		this.#server.keepAliveTimeout = 30_000;
		this.#server.on('connection', socket => {
			if (this.#isDown) {
				socket.resetAndDestroy();
				return;
			}

			this.#sockets.add(socket);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** @returns the address, `IP:port` */
	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	/** Ends all connections as the end of a process does, and refuses new ones until {@link Worker.restart}. */
	crash() {
		this.#isDown = true;
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Numbers of running and waiting requests and of slots. */
	get #load() {
		return `${this.#running.size},${this.#waiting.length},${this.#options.slots}`;
	}

	restart() {
		this.#isDown = false;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#take(request, parts, response) {
		const {id, slots, queue} = this.#options;
		const {headers} = request;
		if (headers['yuccawood-expect-instance'] !== id) {
			response.writeHead(421, {'yuccawood-instance-id': id, 'content-length': 0});
			response.end();
			return;
		}

		if (this.#running.size >= slots && this.#waiting.length >= queue) {
			response.writeHead(503, {
				'yuccawood-attempt-id': headers['yuccawood-attempt-id'], 'yuccawood-not-executed': '1', 'yuccawood-instance-load': this.#load, 'content-length': 0,
			});
			response.end();
			return;
		}

		this.#waiting.push({request, parts, response});
		this.#runNext();
	}

	#runNext() {
		while (this.#running.size < this.#options.slots && this.#waiting.length > 0) {
			const {request, parts, response} = this.#waiting.shift();
			if (!response.destroyed) {
				this.#run(request, parts, response);
			}
		}
	}

	#run({headers, url}, parts, response) {
		const {id, workMs, onRun} = this.#options;
		const requestId = headers['yuccawood-attempt-id'];
		this.#running.add(requestId);
		response.once('close', () => {
			this.#running.delete(requestId);
			this.#runNext();
		});
		const answerHeaders = {'yuccawood-attempt-id': requestId, 'yuccawood-server-seal': `seal-${id}`, 'yuccawood-instance-load': this.#load};
		const bytes = parts.reduce((sum, part) => sum + part.byteLength, 0);
		const body = bytes < 1000 ? parts.join('') : '';
		onRun({
			requestId, worker: id, bytes, body,
		});
		if (url.startsWith('/stream/')) {
			response.writeHead(200, {...answerHeaders, 'content-type': 'text/event-stream'});
			this.#writeEvents(response, requestId, Number(headers['last-event-id'] ?? 0) + 1);
			this.#crashLater(body, requestId);
			return;
		}

		setTimeout(() => {
			const text = `done ${requestId}`;
			response.writeHead(200, {...answerHeaders, 'content-length': text.length});
			response.end(text);
		}, workMs);
	}

	#writeEvents(response, requestId, number) {
		if (response.destroyed) {
			return;
		}

		if (number > this.#options.events) {
			response.end();
			return;
		}

		response.write(`id: ${number}\ndata: piece ${number}\n\n`);
		setTimeout(() => {
			this.#writeEvents(response, requestId, number + 1);
		}, EVENT_PAUSE_MS);
	}

	#crashLater(body, requestId) {
		const {crashAfterMs, onCrash} = this.#options;
		const afterMs = crashAfterMs(body);
		if (afterMs === undefined) {
			return;
		}

		setTimeout(() => {
			if (!this.#isDown) {
				this.crash();
				onCrash(requestId);
			}
		}, afterMs);
	}
}

/** Value of a worker's entry in the store. */
export const workerItem = item => ({
	zone: 'za', version: 'v1', slots: 16, state: 'ready', coldLeftMs: 0, seq: 1, born: 1_700_000_000_000, ...item,
});
