/** Workers preempt their newest streams; the entry, which is being stopped, gives these up, finds no place elsewhere, and cuts them. */
import {
	CaseError, LIMITS, plainService, route, runCase,
} from '../stand-ins-3/case.js';
import {Client} from '../stand-ins-3/client.js';
import {freePorts, sleep} from '../stand-ins-3/http-tools.js';
import {BOUNDS, Program} from '../stand-ins-3/program.js';
import {Store} from '../stand-ins-3/store.js';
import {Worker} from '../stand-ins-3/worker.js';

const KEY = 'jnbanfqasnmgkcuyj8pj';
const STREAMS = 8;

/** A stream without a pause takes 1.8 s. Clients leave after 2.4 s without an event (eight times `gapTargetMs`). */
const PLAN = {
	events: 18, gapMs: 100, pauseAfter: 5, pauseMs: 0,
};
const PAUSE_MS = 1800;
const TIMEOUT_MS = 6000;

await runCase(import.meta.dirname, async ({isTroubled, note, own}) => {
	const firstPort = await freePorts(12);
	const store = own(new Store());
	await store.listen(firstPort);
	store.put('op/config', JSON.stringify({
		version: 7, routes: [route({
			name: 'r-guide', host: 'jepu9.example', prefix: '/lepu270/', service: 'assistant', kind: 'stream', timeoutMs: TIMEOUT_MS, goalMs: 400, attempts: 2, streamResume: true, gapTargetMs: 300,
		})], services: [plainService('assistant')], limits: LIMITS, tenants: [{name: 'bozi300', apiKeys: [KEY], priority: 1}],
	}));
	const others = {holdSlots: false};
	const workers = Array.from({length: 3}, (_, index) => new Worker({
		id: `i-7f3a91c${index + 1}`, service: 'assistant', port: firstPort + 1 + index, store, slots: 16, isFull: () => others.holdSlots,
		planOf: () => ({...PLAN, pauseMs: isTroubled ? PAUSE_MS : 0}),
	}));
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
	await sleep(1000);
	const streams = Array.from({length: STREAMS}, async (_, index) => client.send({
		host: 'jepu9.example', path: `/lepu270/${index}`, body: `prompt ${index}`, key: KEY, deadlineMs: TIMEOUT_MS + 30,
	}));
	await sleep(300);
	others.holdSlots = true;
	note('Requests of other machines take the free slots of the workers.');
	entry.signal('SIGTERM');
	const stoppedAt = Date.now();
	note(`The entry gets SIGTERM. Its grace is ${BOUNDS.graceS} s.`);
	await Promise.all(streams);
	await sleep(500);
	for (const worker of workers) {
		for (const {id, startedAt, endedAt, events, isWhole} of worker.streams) {
			note(`worker ${worker.id}: begins ${id}`, startedAt);
			note(`worker ${worker.id}: ${isWhole ? 'has sent all of' : 'its channel closes in'} ${id} after event ${events}`, endedAt ?? Date.now());
		}

		for (const {id, at, status} of worker.refused) {
			note(`worker ${worker.id}: refuses ${id} with ${status}`, at);
		}
	}

	for (const {id, sentAt, endedAt, status} of client.attempts) {
		note(`client: ${id} sent`, sentAt);
		note(`client: ${id} ended with ${status ?? 'no complete answer'}`, endedAt);
	}

	return client.attempts.filter(({id, status}) => status === undefined && workers.some(({streams: begun}) => begun.some(stream => stream.id === id))).map(({id, sentAt, endedAt, body}) =>
		`LOST: stream ${id}, passed on to a worker, was cut ${endedAt - sentAt} ms after it was sent, ${endedAt - stoppedAt} ms after SIGTERM, with ${body.split('\n\n').length - 1} of ${PLAN.events} events.`);
});
