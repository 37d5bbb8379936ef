/** Stand-in of the platform's key-value store: items, leases, watches and transactions. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {bodyOf, closeServer, listen} from './http-tools.js';

/** Longest wait of a watch, in milliseconds. */
const MAX_WAIT_MS = 30_000;

const answer = (response, status, value) => {
	if (!response.destroyed && !response.headersSent) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(value === undefined ? '' : JSON.stringify(value));
	}
};

export class Store {
	#items = new Map();
	#leases = new Map();
	#events = [];
	#waiting = new Set();
	#revision = 1;
	#lastLease = 100;
	#server = http.createServer((request, response) => {
		this.#serve(request, response);
	});
	/** Address, `IP:port`. */
	address;

	async start(ip) {
		this.address = `${ip}:${await listen(this.#server, ip)}`;
	}

	async close() {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		await closeServer(this.#server);
	}

	/** Writes a value as the operator or a worker does. */
	put(key, value) {
		this.#set(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
		this.#notify();
	}

	remove(key) {
		this.#delete(key);
		this.#notify();
	}

	#set(key, value, lease) {
		this.#revision++;
		const created = this.#items.get(key)?.created ?? this.#revision;
		const item = {
			key, value, revision: this.#revision, created, lease,
		};
		this.#items.set(key, item);
		this.#events.push(item);
	}

	#delete(key) {
		if (this.#items.delete(key)) {
			this.#revision++;
			this.#events.push({key, revision: this.#revision, removed: true});
		}
	}

	#notify() {
		for (const look of this.#waiting) {
			look();
		}
	}

	#startLease(id, ttlMs) {
		clearTimeout(this.#leases.get(id)?.timer);
		this.#leases.set(id, {ttlMs, timer: setTimeout(() => this.#endLease(id), ttlMs)});
	}

	#endLease(id) {
		clearTimeout(this.#leases.get(id)?.timer);
		this.#leases.delete(id);
		for (const {key, lease} of this.#items.values()) {
			if (lease === id) {
				this.#delete(key);
			}
		}

		this.#notify();
	}

	async #serve(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const text = await bodyOf(request);
		const [, call, id] = pathname.split('/');
		switch (call) {
			case 'kv-key': {
				const item = this.#items.get(searchParams.get('key'));
				answer(response, item ? 200 : 404, item && {...item, at: this.#revision});
				return;
			}

			case 'kv-range': {
				this.#range(searchParams, response);
				return;
			}

			case 'kv-watch': {
				this.#watch(searchParams, response);
				return;
			}

			case 'kv-txn': {
				this.#transact(JSON.parse(text), response);
				return;
			}

			case 'kv-lease': {
				const {ttlMs} = JSON.parse(text);
				this.#lastLease++;
				this.#startLease(this.#lastLease, ttlMs);
				answer(response, 200, {lease: this.#lastLease, ttlMs});
				return;
			}

			case 'kv-keep': {
				const lease = this.#leases.get(Number(id));
				if (lease) {
					this.#startLease(Number(id), lease.ttlMs);
				}

				answer(response, lease ? 200 : 404, lease && {ttlMs: lease.ttlMs});
				return;
			}

			case 'kv-lease-end': {
				this.#endLease(Number(id));
				answer(response, 200, {});
				return;
			}

			default: {
				answer(response, 400);
			}
		}
	}

	#range(query, response) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1);
		answer(response, 200, {items: items.slice(0, 500), hasMore: items.length > 500, at: this.#revision});
	}

	#watch(query, response) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const finish = events => {
			clearTimeout(timer);
			this.#waiting.delete(look);
			answer(response, 200, {events, at: this.#revision});
		};

		const look = () => {
			const events = this.#events.filter(({key, revision}) => revision > after && key.startsWith(prefix));
			if (events.length > 0) {
				finish(events);
			}
		};

		const timer = setTimeout(() => finish([]), Math.min(Number(query.get('waitMs')), MAX_WAIT_MS));
		response.on('close', () => {
			clearTimeout(timer);
			this.#waiting.delete(look);
		});
		this.#waiting.add(look);
		look();
	}

	#transact({expected = [], write = [], remove = []}, response) {
		const isAsExpected = expected.every(({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision);
		if (!isAsExpected) {
			answer(response, 412, {items: expected.flatMap(({key}) => this.#items.get(key) ?? [])});
			return;
		}

		if (write.some(({key}) => key.startsWith('op/') || key.startsWith('servers/'))) {
			answer(response, 403);
			return;
		}

		if (write.some(({lease}) => lease && !this.#leases.has(lease))) {
			answer(response, 404);
			return;
		}

		for (const {key, value, lease = 0} of write) {
			this.#set(key, value, lease);
		}

		for (const key of remove) {
			this.#delete(key);
		}

		answer(response, 200, {revision: this.#revision});
		this.#notify();
	}
}
