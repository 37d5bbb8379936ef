/** Stand-in of the platform's key-value store on a loopback address, without bounds on rate or size. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {readBody, sendJson} from './http-tools.js';

const MAX_PAGE_ITEMS = 500;
const WORKER_PREFIX = 'servers/';

const decode = base64 => Buffer.from(base64, 'base64').toString('utf8');
const encode = text => Buffer.from(text, 'utf8').toString('base64');

/** An entry of a worker changes only when more than its count of beats changes. */
const isSameEntry = (key, before, after) => {
	if (!key.startsWith(WORKER_PREFIX) || before === undefined) {
		return false;
	}

	try {
		return JSON.stringify({...JSON.parse(before), seq: 0}) === JSON.stringify({...JSON.parse(after), seq: 0});
	} catch {
		return before === after;
	}
};

export class Store {
	/** Calls that arrive while this returns true get no answer; the argument is `{method, path}`. */
	isSilentFor = () => false;
	#items = new Map();
	#leases = new Map();
	#silences = new Map();
	#history = [];
	#watches = new Set();
	#revision = 1;
	#lastLease = 1000;
	#servers = new Map();

	/** Answers at this port of 127.0.0.1, too. */
	async listen(port) {
		const server = http.createServer((request, response) => {
			this.#handle(request, response);
		});
		server.keepAliveTimeout = 60_000;
		this.#servers.set(port, server);
		await new Promise(resolve => {
			server.listen(port, '127.0.0.1', resolve);
		});
		this.address ??= `127.0.0.1:${port}`;
	}

	/** Answers no longer at this port; connections to it are closed. */
	leave(port) {
		const server = this.#servers.get(port);
		this.#servers.delete(port);
		server.close();
		server.closeAllConnections();
	}

	close() {
		for (const port of this.#servers.keys()) {
			this.leave(port);
		}

		for (const timer of [...this.#silences.values(), ...[...this.#leases.values()].map(lease => lease.timer)]) {
			clearTimeout(timer);
		}
	}

	/** Takes effect at once. @returns the revision */
	put(key, text, lease = 0) {
		const known = this.#items.get(key);
		if (known) {
			this.#leases.get(known.lease)?.keys.delete(key);
		}

		this.#leases.get(lease)?.keys.add(key);
		if (known && isSameEntry(key, known.text, text)) {
			known.lease = lease;
			return this.#revision;
		}

		this.#revision++;
		const item = {
			key, text, lease, revision: this.#revision, created: known?.created ?? this.#revision,
		};
		this.#items.set(key, item);
		this.#record(key, {
			key, value: encode(text), revision: item.revision, created: item.created, lease,
		});
		return this.#revision;
	}

	/** Writes the beat of a worker, whose entry is removed after so much silence. */
	putBeat(key, text, silenceMs) {
		clearTimeout(this.#silences.get(key));
		this.#silences.set(key, setTimeout(() => {
			this.remove(key);
		}, silenceMs));
		this.put(key, text);
	}

	remove(key) {
		clearTimeout(this.#silences.get(key));
		const known = this.#items.get(key);
		if (!known) {
			return;
		}

		this.#items.delete(key);
		this.#leases.get(known.lease)?.keys.delete(key);
		this.#revision++;
		this.#record(key, {key, revision: this.#revision, removed: true});
	}

	grant(ttlMs) {
		this.#lastLease++;
		const id = this.#lastLease;
		const lease = {ttlMs, keys: new Set(), timer: undefined};
		this.#leases.set(id, lease);
		this.keep(id);
		return id;
	}

	/** @returns whether the lease exists */
	keep(id) {
		const lease = this.#leases.get(id);
		if (!lease) {
			return false;
		}

		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => {
			this.end(id);
		}, lease.ttlMs);
		return true;
	}

	end(id) {
		const lease = this.#leases.get(id);
		if (!lease) {
			return;
		}

		clearTimeout(lease.timer);
		this.#leases.delete(id);
		for (const key of lease.keys) {
			this.remove(key);
		}
	}

	text(key) {
		return this.#items.get(key)?.text;
	}

	#record(key, event) {
		this.#history.push(event);
		for (const watch of this.#watches) {
			if (key.startsWith(watch.prefix)) {
				watch.answer();
			}
		}
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const call = {method: request.method, path: url.pathname, query: url.searchParams};
		const body = await readBody(request);
		if (this.isSilentFor(call)) {
			return;
		}

		const fields = body.length > 0 ? JSON.parse(body.toString('utf8')) : {};
		switch (call.path) {
			case '/kv-range': {
				this.#range(call, response);

				break;
			}

			case '/kv-key': {
				this.#key(call, response);

				break;
			}

			case '/kv-watch': {
				this.#watch(call, response);

				break;
			}

			case '/kv-txn': {
				this.#transact(fields, response);

				break;
			}

			case '/kv-lease': {
				const ttlMs = Math.min(600_000, Math.max(1000, fields.ttlMs));
				sendJson(response, 200, {lease: this.grant(ttlMs), ttlMs});

				break;
			}

			default: {if (call.path.startsWith('/kv-keep/')) {
				const id = Number(call.path.split('/')[2]);
				if (this.keep(id)) {
					sendJson(response, 200, {ttlMs: this.#leases.get(id).ttlMs});
				} else {
					sendJson(response, 404, {});
				}
			} else if (call.path.startsWith('/kv-lease-end/')) {
				this.end(Number(call.path.split('/')[2]));
				sendJson(response, 200, {});
			} else {
				sendJson(response, 400, {});
			}
			}
		}
	}

	#view({key, text, revision, created, lease}) {
		return {
			key, value: encode(text), revision, created, lease,
		};
	}

	#key({query}, response) {
		const item = this.#items.get(query.get('key'));
		if (item) {
			sendJson(response, 200, {...this.#view(item), at: this.#revision});
		} else {
			sendJson(response, 404, {at: this.#revision});
		}
	}

	#range({query}, response) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const found = [...this.#items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((a, b) => a.key < b.key ? -1 : 1);
		sendJson(response, 200, {items: found.slice(0, MAX_PAGE_ITEMS).map(item => this.#view(item)), hasMore: found.length > MAX_PAGE_ITEMS, at: this.#revision});
	}

	#watch({query}, response) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const eventsSince = () => this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
		const finish = () => {
			clearTimeout(watch.timer);
			this.#watches.delete(watch);
			sendJson(response, 200, {events: eventsSince(), at: this.#revision});
		};

		const watch = {prefix, answer: finish, timer: undefined};
		if (eventsSince().length > 0) {
			finish();
			return;
		}

		watch.timer = setTimeout(finish, Math.min(30_000, Number(query.get('waitMs'))));
		this.#watches.add(watch);
		response.once('close', () => {
			clearTimeout(watch.timer);
			this.#watches.delete(watch);
		});
	}

	#transact({expected = [], write = [], remove = []}, response) {
		const current = expected.map(({key}) => this.#items.get(key)).filter(item => item !== undefined);
		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			sendJson(response, 412, {items: current.map(item => this.#view(item))});
			return;
		}

		if (write.some(({lease = 0}) => lease !== 0 && !this.#leases.has(lease))) {
			sendJson(response, 404, {});
			return;
		}

		if ([...write.map(({key}) => key), ...remove].some(key => key.startsWith('op/') || key.startsWith(WORKER_PREFIX))) {
			sendJson(response, 403, {});
			return;
		}

		for (const {key, value, lease = 0} of write) {
			this.put(key, decode(value), lease);
		}

		for (const key of remove) {
			this.remove(key);
		}

		sendJson(response, 200, {revision: this.#revision});
	}
}
