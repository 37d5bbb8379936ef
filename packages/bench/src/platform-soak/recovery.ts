/** Whether all works again after faults: weights, readiness, each kind of request. */
import {delay, seededRandom} from '@yuccawood/common';
import {REQUEST_KINDS} from '@yuccawood/platform/testing';
import {Caller} from './caller.js';
import type {SoakFleet} from './soak-fleet.js';
import type {Breach, Exchange} from './types.js';

const CHECK_INTERVAL_MS = 100;

/** Share of each kind of request that must be served once all processes are back for long enough. */
const MIN_SERVED_SHARE = 0.25;

type Note = (breach: Omit<Breach, 'at'>) => void;

/** Waits until all engines hold the version and each entry serves each kind of request; notes what is missing after the limit. */
export const checkWorking = async ({fleet, version, limitMs, now, note}: {
	readonly fleet: SoakFleet;
	readonly version: number;
	readonly limitMs: number;
	readonly now: () => number;
	readonly note: Note;
}): Promise<void> => {
	const until = now() + limitMs;
	const engines = fleet.upstreams.flatMap(({engine}) => engine ?? []);
	const isCurrent = (): boolean => engines.every(({loadedVersion}) => loadedVersion === version);
	const areReady = await fleet.awaitReady(limitMs);
	while (!isCurrent() && now() < until) {
		await delay(CHECK_INTERVAL_MS);
	}

	if (!isCurrent() || !areReady) {
		note({promise: 'recover', detail: `after ${limitMs} ms: ready: ${areReady}; versions ${engines.map(({loadedVersion}) => loadedVersion ?? 'none').join(' ')} instead of ${version}`});
	}

	const probe = new Caller({
		id: Math.round(now()), random: seededRandom('probe'), now, promptOf: () => [],
	});
	for (const [index, {ip}] of fleet.entries.entries()) {
		for (const kind of REQUEST_KINDS) {
			let status: number | undefined;
			do {
				({status} = await probe.call({index, ip}, kind));
			} while (status !== 200 && now() < until);

			if (status !== 200) {
				note({promise: 'recover', detail: `entry ${index} answers ${status ?? 'nothing'} to ${kind} after ${limitMs} ms`});
			}
		}
	}

	probe.close();
};

/** Checks the share served of each kind, of the requests sent later than `from` by callers that wait for the answer. */
export const checkServed = ({exchanges, from, note}: {readonly exchanges: readonly Exchange[]; readonly from: number; readonly note: Note}): void => {
	for (const kind of REQUEST_KINDS) {
		const late = exchanges.filter(exchange => exchange.kind === kind && exchange.limitMs >= exchange.timeoutMs && exchange.sentAt >= from);
		const served = late.filter(({status, isComplete}) => status === 200 && isComplete).length;
		if (served < late.length * MIN_SERVED_SHARE || late.length === 0) {
			note({promise: 'recover', detail: `${served} of ${late.length} requests of kind ${kind} were served after the recovery`});
		}
	}
};
