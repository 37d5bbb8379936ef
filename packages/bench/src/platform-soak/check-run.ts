/** All checks that need the whole run: what callers and upstreams saw, what the processes did. */
import {ACCOUNT, type FleetBounds} from '@yuccawood/platform/testing';
import {checkBounds} from './check-bounds.js';
import {checkCallers, type CallerReport} from './check-callers.js';
import {checkDeadlyRuns} from './deadly-prompts.js';
import {checkExchange} from './check-exchange.js';
import type {MemoryWatch} from './memory-watch.js';
import type {PauseWatch} from './pause-watch.js';
import type {SoakFleet} from './soak-fleet.js';
import type {Breach, Exchange, Interval} from './types.js';

/** Time after the route's time limit by which the connection to an upstream must be closed. */
const CLOSE_SLACK_MS = 500;

type Note = (breach: Omit<Breach, 'at'> & {readonly at?: number}) => void;

type Evidence = {
	readonly fleet: SoakFleet;
	readonly exchanges: readonly Exchange[];
	readonly memory: MemoryWatch;
	readonly bounds: FleetBounds;
	readonly pauses: PauseWatch;
	readonly note: Note;
};

/** @returns what became of the requests of callers that left */
export const checkRun = (evidence: Evidence): CallerReport => {
	for (const exchange of evidence.exchanges) {
		checkOne(exchange, evidence);
	}

	checkUpstreams(evidence);
	checkDeadlyPart(evidence);
	checkProcesses(evidence);
	return checkLeavers(evidence);
};

const checkOne = (exchange: Exchange, {fleet, bounds, note}: Evidence): void => {
	const {excuses, disturbances, stops} = fleet.entries[exchange.entry];
	const runs = fleet.runs.get(exchange.requestId) ?? [];
	const breaches = checkExchange(exchange, runs, {
		entry: excuses, paths: fleet.pathFaults, lossSlackMs: bounds.lossSlackMs, stops, stopGraceMs: bounds.stopGraceMs,
	});
	for (const breach of breaches) {
		note({...breach, at: exchange.sentAt});
	}

	const core = [...fleet.disruptions.of(['store'], bounds.stableMs), ...fleet.disruptions.of(['link'])];
	const calm = {core, entry: [...disturbances, ...fleet.disruptions.of(['reset'])], stableMs: bounds.stableMs};
	for (const run of runs) {
		for (const breach of checkBounds(run, fleet.changes, calm)) {
			note({...breach, at: run.at});
		}

		if (run.endless) {
			checkClosing(exchange, fleet, {
				kind: run.endless, from: run.at, excuses, note,
			});
		}
	}
};

/** A frozen entry and a path that holds data back may close later. */
const checkClosing = ({requestId, timeoutMs}: Exchange, {endlessClosed, disruptions}: SoakFleet, {kind, from, excuses, note}: {
	readonly kind: string;
	readonly from: number;
	readonly excuses: readonly Interval[];
	readonly note: Note;
}): void => {
	const closedAt = endlessClosed.get(requestId);
	const until = from + timeoutMs + CLOSE_SLACK_MS;
	const isExcused = [...excuses, ...disruptions.of(['link'])].some(excuse => excuse.from <= until && excuse.to >= from);
	if (!isExcused && (closedAt === undefined || closedAt > until)) {
		note({promise: 'endless', detail: `${requestId}: an answer without an end (${kind}) was closed ${closedAt === undefined ? 'never' : `after ${Math.round(closedAt - from)} ms`}`, at: from});
	}
};

const checkLeavers = ({fleet, exchanges, bounds, pauses, note}: Evidence): CallerReport => {
	const surroundings = fleet.disruptions.of(['store', 'link', 'reset']);
	const report = checkCallers({
		exchanges, runsOf: requestId => fleet.runs.get(requestId) ?? [], stableMs: bounds.stableMs, pausedWithin: pauses.within, heldWithin: fleet.heldWithin,
		disturbancesOf: ({entry}) => [...surroundings, ...fleet.entries[entry].disturbances],
	});
	for (const breach of report.breaches) {
		note(breach);
	}

	return report;
};

const checkDeadlyPart = ({fleet, exchanges, bounds, note}: Evidence): void => {
	const entries = new Map(exchanges.map(({requestId, entry}) => [requestId, fleet.entries[entry]]));
	const core = [...fleet.disruptions.of(['store'], bounds.stableMs), ...fleet.disruptions.of(['link', 'reset'])];
	const breaches = checkDeadlyRuns({
		runs: [...fleet.runs.values()].flat(), crashes: fleet.deadlyPrompts.crashes, stableMs: bounds.stableMs,
		disturbancesOf: ({requestId}) => [...core, ...entries.get(requestId)?.disturbances ?? []],
	});
	for (const breach of breaches) {
		note(breach);
	}
};

const checkUpstreams = ({fleet: {upstreams, runs}, note}: Evidence): void => {
	for (const {engine} of upstreams) {
		for (const {wrongPieces: wrong, version} of engine?.orders ?? []) {
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

const checkProcesses = ({fleet, memory, bounds, note}: Evidence): void => {
	for (const node of fleet.processes) {
		for (const fault of node.faults) {
			note({promise: fault.startsWith('ended') ? 'exit' : 'fault-line', detail: `${node.name}: ${fault.slice(0, 300)}`});
		}

		const limitMb = fleet.entries.includes(node) ? bounds.entryMemoryMb : bounds.agentMemoryMb;
		const peakMb = memory.peaks.get(node) ?? 0;
		if (peakMb > limitMb) {
			note({promise: 'memory', detail: `${node.name} used ${Math.round(peakMb)} MB; its limit is ${limitMb} MB`});
		}
	}
};
