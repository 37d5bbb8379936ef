/** Open channels to the store go silent in the middle of an answer, then a worker reports that it leaves. */
import {setTimeout as pause} from 'node:timers/promises';
import {Caller} from '../common/caller.js';
import {HAS_TROUBLE, runCase} from '../common/case.js';
import {configuration} from '../common/configuration.js';
import {Fleet} from '../common/fleet.js';

const ENTRIES = 3;
const WORKERS = 4;
const LEAVING = 'i-1';
const BEATING = 'i-2';

/** Bounds of the settings, in milliseconds. */
const DRAIN_MS = 2000;
const STABLE_MS = 3000;

/** More than the head of an answer, less than the head and the entry of a worker. */
const BYTES = 250;

/** Time from its report to the end of the worker that leaves. */
const SERVES_ON_MS = 10_000;

/** Time until all machines are in touch, from the silence to the report, and from the report to the end. */
const CALM_MS = 5000;
const REPORT_AFTER_MS = 1000;
const OBSERVED_MS = 12_000;
const GAP_MS = 50;

await runCase(import.meta.url, async (journal, onEnd) => {
	const fleet = new Fleet({onEnd});
	const workers = new Map();
	for (let index = 1; index <= WORKERS; index++) {
		workers.set(`i-${index}`, await fleet.addWorker({id: `i-${index}`, service: 'orders'}));
	}

	fleet.store.put('op/config', configuration({version: 7, services: ['orders']}));
	await fleet.startEntries(ENTRIES);
	journal.say('All entries are ready.');
	const sending = new AbortController();
	const calls = fleet.entries.map(async entry => {
		const caller = new Caller({address: entry.callerAddress, channels: 4});
		onEnd(() => caller.close());
		const exchanges = await caller.keepCalling(sending.signal, {gapMs: GAP_MS});
		return exchanges.map(exchange => ({...exchange, entry}));
	});
	await pause(CALM_MS);
	let silencedAt = Number.NEGATIVE_INFINITY;
	if (HAS_TROUBLE) {
		silencedAt = performance.now();
		const counts = fleet.relays.map(relay => relay.silenceAfter(BYTES));
		journal.say(`The open channels to the store go silent in the middle of the next answer, new ones work: ${counts.join(', ')} of the entries.`);
	}

	fleet.beat(BEATING);
	journal.say(`${BEATING} writes its entry as usual.`);
	await pause(REPORT_AFTER_MS);
	fleet.drain(LEAVING);
	const reportedAt = performance.now();
	journal.say(`The store has accepted that ${LEAVING} is draining; ${LEAVING} goes on serving.`);
	await pause(SERVES_ON_MS);
	workers.get(LEAVING).crash();
	journal.say(`${LEAVING} ends.`);
	await pause(OBSERVED_MS - SERVES_ON_MS);
	sending.abort();
	const exchangesByEntry = await Promise.all(calls);
	const exchanges = exchangesByEntry.flat();

	// A request counts if it reached the worker later than the bound, and a machine in touch took it.
	const exchangeOf = new Map(exchanges.map(exchange => [exchange.requestId, exchange]));
	const left = fleet.runs.filter(({worker, at}) => worker === LEAVING && at > reportedAt).map(run => ({...run, sinceMs: run.at - reportedAt, ...exchangeOf.get(run.requestId)}));
	const late = left.filter(({sinceMs, sentAt}) => sinceMs > DRAIN_MS && sentAt > silencedAt + STABLE_MS);
	for (const {requestId, entry, sinceMs} of left) {
		journal.note(`${requestId} to ${entry.name} reached ${LEAVING} ${Math.round(sinceMs)} ms after its report`);
	}

	for (const entry of fleet.entries) {
		const own = left.filter(run => run.entry === entry);
		const lateCount = late.filter(run => run.entry === entry).length;
		journal.say(`${entry.name}: its last request reached ${LEAVING} ${Math.round(Math.max(0, ...own.map(({sinceMs}) => sinceMs)))} ms after the report; ${lateCount} were too late.`);
	}

	journal.say(`Requests that reached ${LEAVING} later than ${DRAIN_MS} ms after its report, sent on by machines in touch: ${late.length} of ${exchanges.length}.`);
	for (const entry of fleet.entries) {
		for (const line of entry.linesWith('The store does not answer', 'The store answers', 'did not deliver', 'Upstream is listed')) {
			journal.note(`${entry.name} logged: ${line}`);
		}
	}

	return late.length > 0;
});
