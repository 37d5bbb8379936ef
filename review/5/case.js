/** Open channels to the store go silent, then a new configuration moves a route to another service. */
import {setTimeout as pause} from 'node:timers/promises';
import {Caller} from '../common/caller.js';
import {HAS_TROUBLE, runCase} from '../common/case.js';
import {configuration} from '../common/configuration.js';
import {Fleet} from '../common/fleet.js';

const ENTRIES = 3;

/** Bounds of the settings, in milliseconds. */
const CONFIG_MS = 2000;
const STABLE_MS = 3000;

/** Age of what the store returns to stale reads. */
const STALE_MS = 2000;

/** Time until all machines are in touch, from the silence to the change, and from the change to the end. */
const CALM_MS = 5000;
const CHANGE_AFTER_MS = 2500;
const OBSERVED_MS = 9000;
const GAP_MS = 25;

await runCase(import.meta.url, async (journal, onEnd) => {
	const fleet = new Fleet({onEnd});
	fleet.store.staleMs = STALE_MS;
	await fleet.addWorker({id: 'i-old', service: 'orders-old'});
	await fleet.addWorker({id: 'i-new', service: 'orders-new'});
	fleet.store.put('op/config', configuration({version: 7, services: ['orders-old', 'orders-new']}));
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
		const counts = fleet.relays.map(relay => relay.silence());
		journal.say(`The open channels to the store go silent, new ones work: ${counts.join(', ')} of the entries.`);
	}

	await pause(CHANGE_AFTER_MS);
	fleet.store.put('op/config', configuration({version: 9, services: ['orders-new', 'orders-old']}));
	const changedAt = performance.now();
	journal.say('The store has accepted configuration 9, which moves the route to another service.');
	await pause(OBSERVED_MS);
	sending.abort();
	const exchangesByEntry = await Promise.all(calls);
	const exchanges = exchangesByEntry.flat();

	// A request counts if it was sent later than the bound, by a machine in touch.
	const judgedFrom = Math.max(changedAt + CONFIG_MS, silencedAt + STABLE_MS);
	const workerOf = new Map(fleet.runs.map(({requestId, worker}) => [requestId, worker]));
	for (const {requestId, sentAt, entry, status, error} of exchanges) {
		journal.note(`${requestId} sent ${Math.round(sentAt - changedAt)} ms after the change to ${entry.name}: ${status ?? error}, run by ${workerOf.get(requestId) ?? 'nobody'}`);
	}

	const old = exchanges.filter(({requestId}) => workerOf.get(requestId) === 'i-old');
	const late = old.filter(({sentAt}) => sentAt > judgedFrom);
	for (const entry of fleet.entries) {
		const lastMs = Math.max(...old.filter(exchange => exchange.entry === entry).map(({sentAt}) => sentAt)) - changedAt;
		const lateCount = late.filter(exchange => exchange.entry === entry).length;
		journal.say(`${entry.name}: the last request that the old service ran was sent ${Math.round(lastMs)} ms after the change; ${lateCount} were too late.`);
	}

	journal.say(`Requests run by the old service, sent by machines in touch later than ${CONFIG_MS} ms after the change: ${late.length} of ${exchanges.length}.`);
	for (const entry of fleet.entries) {
		for (const line of entry.linesWith('The store does not answer', 'The store answers', 'did not deliver', 'Configuration is in force')) {
			journal.note(`${entry.name} logged: ${line}`);
		}
	}

	return late.length > 0;
});
