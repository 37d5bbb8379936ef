/** Waiting watches are cut once, and the entry of a worker is removed right after. The worker goes on for a while. */
import {setTimeout as pause} from 'node:timers/promises';
import {Caller} from '../common/caller.js';
import {HAS_TROUBLE, runCase} from '../common/case.js';
import {configuration} from '../common/configuration.js';
import {Fleet} from '../common/fleet.js';

const ENTRIES = 3;

/** Bound of the settings, in milliseconds. */
const DRAIN_MS = 2000;

/** Workers that leave one after the other, and those that stay. */
const LEAVING = 3;
const STAYING = 2;

/** Time until all machines are in touch, and between two workers that leave. */
const CALM_MS = 5000;
const OBSERVED_MS = 8000;
const GAP_MS = 8;

await runCase(import.meta.url, async (journal, onEnd) => {
	const fleet = new Fleet({onEnd});
	const ids = Array.from({length: LEAVING + STAYING}, (_, index) => `i-${index + 1}`);
	for (const id of ids) {
		await fleet.addWorker({id, service: 'orders'});
	}

	fleet.store.put('op/config', configuration({version: 7, services: ['orders']}));
	await fleet.startEntries(ENTRIES);
	journal.say('All entries are ready.');
	const sending = new AbortController();
	const calls = fleet.entries.map(async entry => {
		const caller = new Caller({address: entry.callerAddress, channels: 16});
		onEnd(() => caller.close());
		const exchanges = await caller.keepCalling(sending.signal, {gapMs: GAP_MS});
		return exchanges.map(exchange => ({...exchange, entry}));
	});
	await pause(CALM_MS);
	const removedAt = new Map();
	for (const id of ids.slice(0, LEAVING)) {
		if (HAS_TROUBLE) {
			journal.say(`The store cuts the ${fleet.store.cutWatches()} watches that wait.`);
		}

		fleet.store.remove(`servers/${id}`);
		removedAt.set(id, performance.now());
		journal.say(`The entry of ${id} is removed; ${id} goes on serving.`);
		await pause(OBSERVED_MS);
	}

	sending.abort();
	const exchangesByEntry = await Promise.all(calls);
	const exchanges = exchangesByEntry.flat();
	const exchangeOf = new Map(exchanges.map(exchange => [exchange.requestId, exchange]));
	const timed = fleet.runs.map(run => ({...run, sinceMs: run.at - (removedAt.get(run.worker) ?? Number.POSITIVE_INFINITY)}));
	for (const {requestId, worker, sinceMs} of timed) {
		const {entry, status, error} = exchangeOf.get(requestId);
		journal.note(`${requestId} to ${entry.name}: ${status ?? error}, run by ${worker}${sinceMs > 0 ? `, ${Math.round(sinceMs)} ms after its entry was removed` : ''}`);
	}

	const late = timed.filter(({sinceMs}) => sinceMs > DRAIN_MS);
	for (const id of removedAt.keys()) {
		const lastMs = Math.max(...timed.filter(({worker}) => worker === id).map(({sinceMs}) => sinceMs));
		journal.say(`${id}: the last request reached it ${Math.round(lastMs)} ms after its entry was removed; ${late.filter(({worker}) => worker === id).length} were too late.`);
	}

	journal.say(`Requests that reached a worker later than ${DRAIN_MS} ms after the store removed its entry: ${late.length} of ${timed.length}.`);
	return late.length > 0;
});
