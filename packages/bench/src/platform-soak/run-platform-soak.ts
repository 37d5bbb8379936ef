/** One randomised run of the roles of the users' platform: callers, faults, then a calm time in which all must work again. */
import {delay, seededRandom} from '@yuccawood/common';
import {ACCOUNT, REQUEST_KINDS} from '@yuccawood/platform/testing';
import {Caller} from './caller.js';
import {checkExchange} from './check-exchange.js';
import {Faults} from './faults.js';
import {SoakFleet} from './soak-fleet.js';
import type {Breach, Exchange} from './types.js';

const CALLERS = 12;
const START_LIMIT_MS = 20_000;

/** Time after the last fault within which everything must work again. */
const RECOVERY_MS = 15_000;

export type PlatformSoakResult = {
	readonly requests: number;
	readonly successes: number;
	readonly faults: number;
	readonly breaches: readonly Breach[];
};

export const runPlatformSoak = async ({seed, seconds, progress}: {
	readonly seed: string;
	readonly seconds: number;
	readonly progress: (line: string) => void;
}): Promise<PlatformSoakResult> => {
	const startedAt = performance.now();
	const now = (): number => performance.now();
	const random = seededRandom(seed);
	const fleet = new SoakFleet({random, now});
	const exchanges: Exchange[] = [];
	const breaches: Breach[] = [];
	const note = (breach: Omit<Breach, 'at'>): void => {
		breaches.push({...breach, at: Math.round(now() - startedAt) / 1000});
	};

	let faultCount = 0;
	const faults = new Faults({
		fleet, random,
		report(line) {
			faultCount++;
			progress(line);
		},
	});
	const stopping = new AbortController();
	try {
		await fleet.start();
		faults.nameVersion();
		await awaitWorking({
			fleet, version: faults.version, limitMs: START_LIMIT_MS, now, note,
		});
		const callers = Array.from({length: CALLERS}, (_, id) => new Caller({id, random, now}));
		const calling = callers.map(async caller => caller.run(stopping.signal, {
			entryOf: fleet.chooseEntry,
			onExchange(exchange) {
				exchanges.push(exchange);
			},
		}));
		const faulting = new AbortController();
		const injecting = faults.run(faulting.signal);
		await delay(seconds * 1000);
		faulting.abort();
		await injecting;
		progress('calm');
		await awaitWorking({
			fleet, version: faults.version, limitMs: RECOVERY_MS, now, note,
		});
		stopping.abort();
		await Promise.all(calling);
	} finally {
		stopping.abort();
		await fleet.close();
	}

	for (const exchange of exchanges) {
		const excuses = {entry: fleet.entries[exchange.entry].excuses, paths: fleet.pathFaults};
		for (const breach of checkExchange(exchange, fleet.runs.get(exchange.requestId) ?? [], excuses)) {
			breaches.push({...breach, at: Math.round(exchange.sentAt - startedAt) / 1000});
		}
	}

	checkUpstreams(fleet, note);
	for (const node of [...fleet.entries, ...fleet.agents]) {
		for (const fault of node.faults) {
			note({promise: fault.startsWith('ended') ? 'exit' : 'fault-line', detail: `${node.name}: ${fault.slice(0, 300)}`});
		}
	}

	return {
		requests: exchanges.length, successes: exchanges.filter(({status, isComplete}) => status === 200 && isComplete).length, faults: faultCount, breaches,
	};
};

/** Waits until all engines hold the version and each entry serves each kind of request. */
const awaitWorking = async ({fleet, version, limitMs, now, note}: {
	readonly fleet: SoakFleet;
	readonly version: number;
	readonly limitMs: number;
	readonly now: () => number;
	readonly note: (breach: Omit<Breach, 'at'>) => void;
}): Promise<void> => {
	const until = now() + limitMs;
	const engines = fleet.upstreams.flatMap(({engine}) => engine ?? []);
	const isCurrent = (): boolean => engines.every(({loadedVersion}) => loadedVersion === version);
	const areReady = await fleet.awaitReady(limitMs);
	while (!isCurrent() && now() < until) {
		await delay(100);
	}

	if (!isCurrent() || !areReady) {
		note({promise: 'recover', detail: `ready: ${areReady}; versions ${engines.map(({loadedVersion}) => loadedVersion ?? 'none').join(' ')} instead of ${version}`});
	}

	const probe = new Caller({id: Math.round(now()), random: seededRandom('probe'), now});
	for (const [index, {ip}] of fleet.entries.entries()) {
		for (const kind of REQUEST_KINDS) {
			let status: number | undefined;
			do {
				({status} = await probe.call({index, ip}, kind));
			} while (status !== 200 && now() < until);

			if (status !== 200) {
				note({promise: 'recover', detail: `entry ${index} answers ${status ?? 'nothing'} to ${kind}`});
			}
		}
	}
};

const checkUpstreams = ({upstreams, runs}: SoakFleet, note: (breach: Omit<Breach, 'at'>) => void): void => {
	for (const {engine} of upstreams) {
		for (const {wrong, version} of engine?.orders ?? []) {
			if (wrong.length > 0) {
				note({promise: 'whole', detail: `an order for version ${version} with wrong pieces ${wrong.join(' ')}`});
			}
		}
	}

	for (const [requestId, all] of runs) {
		if (all.some(({account, hasKey}) => account !== ACCOUNT || hasKey)) {
			note({promise: 'unasked', detail: `${requestId} ran with a key or for another account`});
		}
	}
};
