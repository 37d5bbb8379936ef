/** Clients that send small requests one after the other on kept channels. Cheap enough to send many in a short time. */
import net from 'node:net';
import {HOST, KEY} from './configuration.js';

const HEAD_END = '\r\n\r\n';

let lastId = 0;

/** Client with one channel to an entry, which sends a request as soon as it has the answer to the one before. */
class Client {
	#sentAt = 0;
	#options;
	#socket;
	#isStopped = false;
	#received = '';

	constructor(options) {
		this.#options = options;
		this.#open();
	}

	/** Sends no further request. */
	stop() {
		this.#isStopped = true;
	}

	close() {
		this.#isStopped = true;
		this.#socket.destroy();
	}

	#open() {
		const {address} = this.#options;
		const socket = net.connect({...address, noDelay: true});
		this.#socket = socket;
		this.#received = '';
		socket.setEncoding('latin1');
		socket.on('data', text => {
			this.#received += text;
			this.#readAnswer();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			if (!this.#isStopped) {
				this.#finish(false);
				this.#open();
			}
		});
		this.#send();
	}

	#send() {
		if (this.#isStopped) {
			return;
		}

		const {path, body, limitMs} = this.#options;
		this.#sentAt = performance.now();
		const lines = [
			`POST ${path} HTTP/1.1`,
			`Host: ${HOST}`,
			`Authorization: Token ${KEY}`,
			`Yuccawood-Attempt-Id: s${String(++lastId).padStart(8, '0')}`,
			`Yuccawood-Deadline-Ms: ${limitMs}`,
			`Content-Length: ${body.length}`,
			'',
			body,
		];
		this.#socket.write(lines.join('\r\n'));
	}

	#readAnswer() {
		const end = this.#received.indexOf(HEAD_END);
		if (end === -1) {
			return;
		}

		const head = this.#received.slice(0, end);
		const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
		if (this.#received.length < end + HEAD_END.length + length) {
			return;
		}

		this.#received = '';
		this.#finish(head.startsWith('HTTP/1.1 200'));
		this.#send();
	}

	#finish(isServed) {
		this.#options.onEnd({sentAt: this.#sentAt, endedAt: performance.now(), isServed});
	}
}

export class SteadyLoad {
	#options;
	#clients = [];

	/** @param onEnd called when a request has ended, with the times at which it was sent and ended, and whether it was served */
	constructor({address, path, body = 'order', limitMs, onEnd}) {
		this.#options = {
			address, path, body, limitMs, onEnd,
		};
	}

	/** Adds clients. */
	add(count) {
		for (let index = 0; index < count; index++) {
			this.#clients.push(new Client(this.#options));
		}
	}

	/** Lets the clients send no further request. */
	stop() {
		for (const client of this.#clients) {
			client.stop();
		}
	}

	close() {
		for (const client of this.#clients) {
			client.close();
		}
	}
}
