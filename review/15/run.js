/** The settings file names another address of the store while the program runs. */
import {
	CaseError, LIMITS, plainService, route, runCase,
} from '../stand-ins-3/case.js';
import {Client} from '../stand-ins-3/client.js';
import {freePorts, sleep} from '../stand-ins-3/http-tools.js';
import {BOUNDS, Program} from '../stand-ins-3/program.js';
import {Store} from '../stand-ins-3/store.js';
import {Worker} from '../stand-ins-3/worker.js';

const KEY = 'jnbanfqasnmgkcuyj8pj';

/** From the change of the settings file to the end of the former address. */
const BOTH_ADDRESSES_MS = 8000;

/** From then to the worker's report that it leaves; longer than `stableMs`. */
const DRAIN_AFTER_MS = 4000;

/** A worker goes on serving for `drainMs` after its report and a little longer. */
const SERVES_LONGER_MS = 1500;

await runCase(import.meta.dirname, async ({isTroubled, note, own}) => {
	const firstPort = await freePorts(12);
	const store = own(new Store());
	await store.listen(firstPort);
	await store.listen(firstPort + 1);
	store.put('op/config', JSON.stringify({
		version: 7, routes: [route({
			name: 'r-order', host: 'voka93.example', prefix: '/filo73/', service: 'orders',
		})], services: [plainService('orders')], limits: LIMITS, tenants: [{name: 'bozi300', apiKeys: [KEY], priority: 1}],
	}));
	const workers = Array.from({length: 3}, (_, index) => new Worker({
		id: `i-7f3a91c${index + 1}`, service: 'orders', port: firstPort + 2 + index, store, workMs: 150,
	}));
	const [leaving] = workers;
	for (const worker of workers) {
		await worker.start();
		own({
			close() {
				worker.exit();
			},
		});
	}

	const entry = own(new Program({role: 'entry', firstPort: firstPort + 6, storeAddress: `127.0.0.1:${firstPort}`}));
	await entry.start();
	if (!await entry.waitUntilReady()) {
		throw new CaseError('The entry did not become ready.');
	}

	note('The entry is ready.');
	const client = own(new Client(entry.callerPort));
	const ending = new AbortController();
	const load = client.load(30, count => ({
		host: 'voka93.example', path: `/filo73/${count}`, body: `order ${count}`, key: KEY,
	}), ending.signal);
	await sleep(4000);
	if (isTroubled) {
		await entry.writeSettings({storeAddress: `127.0.0.1:${firstPort + 1}`});
		note(`The settings file names 127.0.0.1:${firstPort + 1} as the address of the store. The store answers at both addresses.`);
	}

	await sleep(BOTH_ADDRESSES_MS);
	if (isTroubled) {
		store.leave(firstPort);
		note(`The store answers no longer at 127.0.0.1:${firstPort}.`);
	}

	await sleep(DRAIN_AFTER_MS);
	leaving.drain();
	const ackedAt = Date.now();
	note(`${leaving.id} reports that it leaves: ${store.text(`servers/${leaving.id}`)}`);
	await sleep(BOUNDS.drainMs + SERVES_LONGER_MS);
	leaving.exit();
	note(`${leaving.id} ends.`);
	await sleep(2500);
	ending.abort();
	await load;
	for (const {id, sentAt, endedAt, status} of client.attempts) {
		note(`client: ${id} sent`, sentAt);
		note(`client: ${id} ended with ${status ?? 'no complete answer'}`, endedAt);
	}

	for (const worker of workers) {
		for (const {id, at} of worker.runs) {
			note(`worker ${worker.id}: runs ${id}`, at);
		}
	}

	for (const line of entry.lines.filter(text => text.includes('Settings ') || text.includes('The store does not answer'))) {
		note(`entry: ${line}`);
	}

	note(`${client.attempts.filter(({status}) => status === 200).length} of ${client.attempts.length} requests were answered with success.`);
	return leaving.runs.filter(({at}) => at > ackedAt + BOUNDS.drainMs).map(({id, at}) => {
		const {status} = client.attempts.find(attempt => attempt.id === id);
		return `DRAIN: request ${id} reached ${leaving.id} ${at - ackedAt} ms after the ack of its leaving (bound ${BOUNDS.drainMs} ms); its client got ${status ?? 'no complete answer'}.`;
	});
});
