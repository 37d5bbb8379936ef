/** Stand-in of the platform's key-value store, as PROTOCOL.md describes it. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;

const readBody = async request => {
	const parts = [];
	for await (const part of request) {
		parts.push(part);
	}

	return Buffer.concat(parts).toString();
};

const send = (response, status, value) => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(value === undefined ? '' : JSON.stringify(value));
};

export class Store {
	/** Age of what stale reads return, in milliseconds. */
	staleMs = 0;
	#revision = 1;
	#lastLease = 0;
	#items = new Map();
	#leases = new Map();
	#history = [];
	#watches = new Set();
	#server = http.createServer(async (request, response) => {
		const url = new URL(request.url, 'http://store');
		const body = await readBody(request);
		await pause(ANSWER_MS);
		this.#answer(request.method, url, body, response);
	});

	/** @returns the address, `IP:port` */
	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	close() {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}

		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a value as the operator or a worker does. */
	put(key, value, lease = 0) {
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		this.#write(key, Buffer.from(text).toString('base64'), lease);
	}

	remove(key) {
		const item = this.#items.get(key);
		if (item) {
			this.#items.delete(key);
			this.#leases.get(item.lease)?.keys.delete(key);
			this.#record({key, revision: ++this.#revision, removed: true});
		}
	}

	#write(key, value, lease) {
		this.#leases.get(this.#items.get(key)?.lease)?.keys.delete(key);
		const revision = ++this.#revision;
		const item = {
			key, value, revision, created: this.#items.get(key)?.created ?? revision, lease,
		};
		this.#items.set(key, item);
		this.#leases.get(lease)?.keys.add(key);
		this.#record(item);
	}

	#record(event) {
		this.#history.push({...event, acceptedAt: performance.now()});
		for (const watch of this.#watches) {
			watch.look();
		}
	}

	#endLease(id) {
		const lease = this.#leases.get(id);
		if (!lease) {
			return false;
		}

		clearTimeout(lease.timer);
		this.#leases.delete(id);
		for (const key of lease.keys) {
			this.remove(key);
		}

		return true;
	}

	#keepLease(id) {
		const lease = this.#leases.get(id);
		if (!lease) {
			return undefined;
		}

		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => {
			this.#endLease(id);
		}, lease.ttlMs);
		return lease;
	}

	#answer(method, url, body, response) {
		const {pathname, searchParams: query} = url;
		const [, call, id] = pathname.split('/');
		switch (call) {
			case 'kv-key': {
				const item = this.#items.get(query.get('key'));
				send(response, item ? 200 : 404, item && {...item, at: this.#revision});
				return;
			}

			case 'kv-range': {
				this.#range(query, response);
				return;
			}

			case 'kv-watch': {
				this.#watch(query, response);
				return;
			}

			case 'kv-txn': {
				this.#transact(JSON.parse(body), response);
				return;
			}

			case 'kv-lease': {
				const lease = ++this.#lastLease;
				const {ttlMs} = JSON.parse(body);
				this.#leases.set(lease, {ttlMs, keys: new Set(), timer: undefined});
				this.#keepLease(lease);
				send(response, 200, {lease, ttlMs});
				return;
			}

			case 'kv-keep': {
				const lease = this.#keepLease(Number(id));
				send(response, lease ? 200 : 404, lease && {ttlMs: lease.ttlMs});
				return;
			}

			case 'kv-lease-end': {
				send(response, this.#endLease(Number(id)) ? 200 : 404);
				return;
			}

			default: {
				send(response, 400);
			}
		}
	}

	/** Items and revision as they were some time ago. */
	#stateBefore(milliseconds) {
		const until = performance.now() - milliseconds;
		const items = new Map();
		let at = 1;
		for (const {acceptedAt, ...event} of this.#history.filter(({acceptedAt}) => acceptedAt <= until)) {
			at = event.revision;
			items.set(event.key, event);
		}

		return {at, items: [...items.values()].filter(({removed}) => !removed)};
	}

	#range(query, response) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const {at, items} = query.get('staleRead') === '1' && this.staleMs > 0 ? this.#stateBefore(this.staleMs) : {at: this.#revision, items: [...this.#items.values()]};
		const found = items.filter(({key}) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1);
		send(response, 200, {items: found.slice(0, PAGE_ITEMS), hasMore: found.length > PAGE_ITEMS, at});
	}

	#watch(query, response) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const watch = {
			response,
			look: () => {
				const events = this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
				if (events.length > 0) {
					finish(events);
				}
			},
		};
		const finish = events => {
			clearTimeout(timer);
			this.#watches.delete(watch);
			send(response, 200, {events, at: this.#revision});
		};

		const timer = setTimeout(finish, Number(query.get('waitMs')), []);
		response.on('close', () => {
			clearTimeout(timer);
			this.#watches.delete(watch);
		});
		this.#watches.add(watch);
		watch.look();
	}

	#transact({expected = [], write = [], remove = []}, response) {
		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			send(response, 412, {items: expected.flatMap(({key}) => this.#items.get(key) ?? [])});
			return;
		}

		if (write.some(({lease}) => lease && !this.#leases.has(lease))) {
			send(response, 404);
			return;
		}

		for (const {key, value, lease = 0} of write) {
			this.#write(key, value, lease);
		}

		for (const key of remove) {
			this.remove(key);
		}

		send(response, 200, {revision: this.#revision});
	}
}
