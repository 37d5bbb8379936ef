/** Open channels to the store go silent, then a new version of the weights is named. */
import {setTimeout as pause} from 'node:timers/promises';
import {Caller} from '../common/caller.js';
import {HAS_TROUBLE, runCase} from '../common/case.js';
import {engineConfiguration} from '../common/configuration.js';
import {Fleet} from '../common/fleet.js';

const ENTRIES = 3;
const ENGINES = 6;
const SERVICE = 'assistant';
const MODEL = 'daka510000';

/** Bounds of the settings, in milliseconds. */
const VERSION_MS = 8000;
const STABLE_MS = 3000;

/** Age of what the store returns to stale reads. */
const STALE_MS = 2000;

/** Time until all machines are in touch, from the silence to the version, and from the version to the end. */
const CALM_MS = 15_000;
const VERSION_AFTER_MS = 300;
const OBSERVED_MS = 16_000;
const GAP_MS = 60;

await runCase(import.meta.url, async (journal, onEnd) => {
	const fleet = new Fleet({onEnd});
	fleet.store.staleMs = STALE_MS;
	const originAddress = await fleet.startEngines(ENGINES, {service: SERVICE, model: MODEL, entries: ENTRIES});
	fleet.store.put('op/config', engineConfiguration({
		version: 7, service: SERVICE, model: MODEL, originAddress,
	}));
	await fleet.startEntries(ENTRIES);
	journal.say('All entries are ready.');
	const sending = new AbortController();
	const calls = fleet.entries.map(async entry => {
		const caller = new Caller({address: entry.callerAddress, channels: 32});
		onEnd(() => caller.close());
		const exchanges = await caller.keepCalling(sending.signal, {
			path: '/stream/2f', body: 'a prompt', gapMs: GAP_MS, limitMs: 6000,
		});
		return exchanges.map(exchange => ({...exchange, entry}));
	});
	await pause(CALM_MS);
	let silencedAt = Number.NEGATIVE_INFINITY;
	if (HAS_TROUBLE) {
		silencedAt = performance.now();
		const counts = fleet.relays.map(relay => relay.silence());
		journal.say(`The open channels to the store go silent, new ones work: ${counts.join(', ')} of the processes.`);
	}

	await pause(VERSION_AFTER_MS);
	fleet.store.put(`op/version/${MODEL}`, {model: MODEL, version: 2});
	const namedAt = performance.now();
	journal.say('The store has accepted that version 2 is named.');
	await pause(OBSERVED_MS);
	sending.abort();
	const exchangesByEntry = await Promise.all(calls);
	const exchanges = exchangesByEntry.flat();

	// A run counts if it began on the older version later than the bound, and a machine in touch sent it on.
	const exchangeOf = new Map(exchanges.map(exchange => [exchange.requestId, exchange]));
	const runs = fleet.runs.map(run => ({...run, ...exchangeOf.get(run.requestId), sinceMs: run.at - namedAt}));
	for (const {requestId, entry, worker, version, sinceMs, status, error} of runs) {
		journal.note(`${requestId} by ${entry.name}: ${status ?? error}, began on version ${version} at ${worker} ${Math.round(sinceMs)} ms after version 2 was named`);
	}

	const late = runs.filter(({version, sinceMs, sentAt}) => version === 1 && sinceMs > VERSION_MS && sentAt > silencedAt + STABLE_MS);
	const last = Math.max(...runs.filter(({version}) => version === 1).map(({sinceMs}) => sinceMs));
	const statuses = new Map();
	for (const {status, error} of exchanges) {
		statuses.set(status ?? error, (statuses.get(status ?? error) ?? 0) + 1);
	}

	journal.say(`Answers: ${JSON.stringify(Object.fromEntries(statuses))}. The last request that began on version 1 did so ${Math.round(last)} ms after version 2 was named.`);
	journal.say(`Requests that began on version 1 later than ${VERSION_MS} ms after version 2 was named, sent on by machines in touch: ${late.length} of ${runs.length}.`);
	for (const node of [...fleet.entries, ...fleet.agents]) {
		for (const line of node.linesWith('target version', 'Older versions may', 'Version is loaded')) {
			journal.note(`${node.name} logged: ${line}`);
		}
	}

	return late.length > 0;
});
