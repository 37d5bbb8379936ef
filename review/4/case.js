/** Workers near their limit preempt streams for a while, and entries reload their settings meanwhile. */
import {setTimeout as pause} from 'node:timers/promises';
import {Caller} from '../common/caller.js';
import {HAS_TROUBLE, runCase} from '../common/case.js';
import {configuration} from '../common/configuration.js';
import {Fleet} from '../common/fleet.js';

const ENTRIES = 3;
const WORKERS = 3;
const SLOTS = 16;
const QUEUE = 4;
const CLIENTS = 20;

/** Bound of the settings, in milliseconds: planned work around a SIGHUP. */
const CONFIG_MS = 2000;

/** Pause of a preempted stream, shorter than the gap after which clients give up, and the time between two. */
const PREEMPTED_MS = 1800;
const PREEMPT_GAP_MS = 800;

const CALM_MS = 6000;
const RELOADS = 4;
const RELOAD_GAP_MS = 4000;

await runCase(import.meta.url, async (journal, onEnd) => {
	const fleet = new Fleet({onEnd});
	const workers = [];
	for (let index = 1; index <= WORKERS; index++) {
		workers.push(await fleet.addWorker({
			id: `i-${index}`, service: 'assistant', slots: SLOTS, queue: QUEUE,
		}));
	}

	fleet.store.put('op/config', configuration({
		version: 7, services: ['assistant'], prefix: '/stream/', kind: 'stream', attempts: 2, streamResume: true, gapTargetMs: 300, timeoutMs: 6000, goalMs: 402,
	}));
	await fleet.startEntries(ENTRIES);
	journal.say('All entries are ready.');
	const sending = new AbortController();
	const loop = async entry => {
		const caller = new Caller({address: entry.callerAddress});
		onEnd(() => caller.close());
		const exchanges = [];
		while (!sending.signal.aborted) {
			const exchange = await caller.call({path: '/stream/2f', body: `a prompt ${exchanges.length}`, limitMs: 6000});
			exchanges.push({entry, ...exchange});
			await pause(100);
		}

		return exchanges;
	};

	const loops = fleet.entries.flatMap(entry => Array.from({length: CLIENTS}, async () => loop(entry)));
	await pause(CALM_MS);
	let preempted = 0;
	const preempting = setInterval(() => {
		for (const worker of HAS_TROUBLE ? workers : []) {
			journal.note(`A worker preempts ${worker.preempt(PREEMPTED_MS)} for ${PREEMPTED_MS} ms.`);
			preempted++;
		}
	}, PREEMPT_GAP_MS);
	const reloadedAt = [];
	for (let reload = 0; reload < RELOADS; reload++) {
		for (const entry of fleet.entries) {
			entry.signal('SIGHUP');
		}

		reloadedAt.push(performance.now());
		journal.note('The entries get SIGHUP.');
		await pause(RELOAD_GAP_MS);
	}

	clearInterval(preempting);
	sending.abort();
	const exchangesByClient = await Promise.all(loops);
	const exchanges = exchangesByClient.flat();
	const runsOf = new Map();
	for (const {requestId, worker} of fleet.runs) {
		runsOf.set(requestId, [...(runsOf.get(requestId) ?? []), worker]);
	}

	for (const {requestId, entry, status, error, text, sentAt, endedAt} of exchanges) {
		const events = text.split('\n\n').length - 1;
		journal.note(`${requestId} to ${entry.name}: ${status ?? error} after ${Math.round(endedAt - sentAt)} ms, ${events} events, run by ${(runsOf.get(requestId) ?? []).join(', ') || 'nobody'}`);
	}

	const cut = exchanges.filter(({requestId, status}) => status === undefined && runsOf.has(requestId));
	const planned = cut.filter(({sentAt, endedAt}) => reloadedAt.some(at => sentAt < at + CONFIG_MS && endedAt > at));
	const statuses = new Map();
	for (const {status, error} of exchanges) {
		statuses.set(status ?? error, (statuses.get(status ?? error) ?? 0) + 1);
	}

	journal.say(`Answers: ${JSON.stringify(Object.fromEntries(statuses))}; ${preempted} streams were preempted.`);
	journal.say(`Streams that a worker ran and whose channel ended without the rest: ${cut.length}, of these around a SIGHUP: ${planned.length}.`);
	for (const entry of fleet.entries) {
		for (const line of entry.linesWith('Given up', 'Sent again', 'Rejected')) {
			journal.note(`${entry.name} logged: ${line}`);
		}
	}

	return planned.length > 0;
});
