/** Stand-in of a worker of a plain service. It reports each request that it runs. */
import http from 'node:http';

export class Worker {
	#server;
	#id;

	/** @param onRun called with the id of each request as it begins to run, and its size */
	constructor({id, workMs = 20, onRun}) {
		this.#id = id;
		this.#server = http.createServer((request, response) => {
			let bytes = 0;
			request.on('data', part => {
				bytes += part.byteLength;
			});
			request.on('end', () => {
				this.#run(request.headers, bytes, response, {workMs, onRun});
			});
		});
		this.#server.keepAliveTimeout = 30_000;
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

	#run(headers, bytes, response, {workMs, onRun}) {
		if (headers['yuccawood-expect-instance'] !== this.#id) {
			response.writeHead(421, {'yuccawood-instance-id': this.#id, 'content-length': 0});
			response.end();
			return;
		}

		const requestId = headers['yuccawood-attempt-id'];
		onRun({requestId, worker: this.#id, bytes});
		setTimeout(() => {
			const body = `done ${requestId}`;
			response.writeHead(200, {'yuccawood-attempt-id': requestId, 'yuccawood-server-seal': `seal-${this.#id}`, 'content-length': body.length});
			response.end(body);
		}, workMs);
	}
}

/** Value of a worker's entry in the store. */
export const workerItem = ({service, address, slots = 16, state = 'ready', born = 1_700_000_000_000}) => ({
	service, address, zone: 'za', version: 'v1', slots, state, coldLeftMs: 0, seq: 1, born,
});
