/** A beat of a worker that a partition has held up reaches the store after the worker has reported that it leaves. */
import {
	CaseError, LIMITS, plainService, route, runCase,
} from '../stand-ins-3/case.js';
import {Client} from '../stand-ins-3/client.js';
import {freePorts, sleep} from '../stand-ins-3/http-tools.js';
import {BOUNDS, Program} from '../stand-ins-3/program.js';
import {Store} from '../stand-ins-3/store.js';
import {Worker} from '../stand-ins-3/worker.js';

const KEY = 'jnbanfqasnmgkcuyj8pj';

/** The worker is cut from the store for less than the 5 s that `fleetbench kinds` states. */
const CUT_MS = 3700;

/** From the start of the cut to the beat that it holds up. */
const HELD_AFTER_CUT_MS = 300;

/**
Times at which TCP sends held bytes again, after they were first sent: the pause begins with 200 ms and doubles. The sender has closed the
channel after its time limit, without a reset, so the kernel goes on.
*/
const RETRANSMISSIONS_MS = [200, 600, 1400, 3000, 6200, 12_600];

/** From the end of the cut to the worker's report that it leaves. */
const DRAIN_AFTER_CUT_MS = 50;

/** A worker goes on serving for `drainMs` after its report and a little longer. */
const SERVES_LONGER_MS = 1200;

const WORK_MS = 150;

/** Three heartbeat intervals. */
const SILENCE_MS = 3600;

await runCase(import.meta.dirname, async ({isTroubled, note, own}) => {
	const firstPort = await freePorts(12);
	const store = own(new Store());
	await store.listen(firstPort);
	store.put('op/config', JSON.stringify({
		version: 7, routes: [route({
			name: 'r-order', host: 'voka93.example', prefix: '/filo73/', service: 'orders',
		})], services: [plainService('orders')], limits: LIMITS, tenants: [{name: 'bozi300', apiKeys: [KEY], priority: 1}],
	}));
	const cut = {isOn: false, from: 0, until: 0};
	const held = {at: 0, isSeen: false, text: ''};
	const workers = Array.from({length: 5}, (_, index) => new Worker({
		id: `i-7f3a91c${index + 1}`, service: 'orders', port: firstPort + 1 + index, store, workMs: WORK_MS,
		onBeat({text}) {
			if (!cut.isOn || index > 0) {
				return false;
			}

			// Only the first beat is written on an open channel. Later ones find no way to open another.
			if (!held.isSeen) {
				Object.assign(held, {at: Date.now(), isSeen: true, text});
				note(`A beat is written on an open channel and held up: ${text}`);
			}

			return true;
		},
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

	const entry = own(new Program({role: 'entry', firstPort: firstPort + 6, storeAddress: store.address}));
	await entry.start();
	if (!await entry.waitUntilReady()) {
		throw new CaseError('The entry did not become ready.');
	}

	note('The entry is ready.');
	const client = own(new Client(entry.callerPort));
	const ending = new AbortController();
	const load = client.load(50, count => ({
		host: 'voka93.example', path: `/filo73/${count}`, body: `order ${count}`, key: KEY,
	}), ending.signal);
	await sleep(4000);
	if (isTroubled) {
		while (Date.now() < leaving.lastBeatAt + 1200 - HELD_AFTER_CUT_MS) {
			await sleep(5);
		}

		cut.isOn = true;
		cut.from = Date.now();
		note(`${leaving.id} is cut from the store, and from nothing else.`);
		await sleep(CUT_MS);
		cut.isOn = false;
		cut.until = Date.now();
		const deliveredAt = held.at + RETRANSMISSIONS_MS.find(after => held.at + after > cut.until);
		note(`The cut ends after ${cut.until - cut.from} ms. The entry of ${leaving.id} is now ${store.text(`servers/${leaving.id}`) ?? 'absent'}.`);
		setTimeout(() => {
			store.putBeat(`servers/${leaving.id}`, held.text, SILENCE_MS);
			note(`The beat that was held up arrives. The entry of ${leaving.id} is now ${store.text(`servers/${leaving.id}`)}`);
		}, deliveredAt - Date.now());
		await sleep(DRAIN_AFTER_CUT_MS);
	}

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

	const lateRuns = leaving.runs.filter(({at}) => at > ackedAt + BOUNDS.drainMs);
	note(`${client.attempts.filter(({status}) => status === 200).length} of ${client.attempts.length} requests were answered with success.`);
	return lateRuns.map(({id, at}) => {
		const {status} = client.attempts.find(attempt => attempt.id === id);
		return `DRAIN: request ${id} reached ${leaving.id} ${at - ackedAt} ms after the store had acknowledged that it leaves (bound ${BOUNDS.drainMs} ms); its client got ${status ?? 'no complete answer'}.`;
	});
});
