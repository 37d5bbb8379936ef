/** One randomised run of the roles of the users' platform: storms of faults, and after each a time in which all must work again. */
import {delay, seededRandom, type Random} from '@yuccawood/common';
import {DEFAULT_FLEET_BOUNDS, ROUTE_TIMEOUT_MS, type FleetBounds} from '@yuccawood/platform/testing';
import {Caller} from './caller.js';
import {checkRun} from './check-run.js';
import {Faults} from './faults.js';
import {MemoryWatch} from './memory-watch.js';
import {Restarts} from './restarts.js';
import {PauseWatch} from './pause-watch.js';
import {checkServed, checkWorking} from './recovery.js';
import {Silences} from './silences.js';
import {Standstills} from './standstills.js';
import {SoakFleet, USUAL_SIZE, type FleetSize} from './soak-fleet.js';
import {runStorm} from './storm.js';
import type {Breach, Exchange} from './types.js';

const CALLERS = 12;

/** Callers that leave early; with restarts they are many, so that entries are loaded fully. */
const HASTY_CALLERS = 4;
const HASTY_CALLERS_AT_RESTARTS = 48;

/** Longest stream with restarts: one that begins before a stop keeps its connection in use through most of the grace. */
const LONG_STREAM_MS = 6000;
const START_LIMIT_MS = 20_000;
const STORM_MS = 4000;

/** Time at the end in which only callers act. */
const TAIL_MS = 2000;

export type PlatformSoakResult = {
	readonly requests: number;
	readonly successes: number;
	readonly faults: number;
	readonly namedVersions: number;
	readonly endlessAnswers: number;

	/** Engines that ended under a deadly part of a prompt. */
	readonly deadlyCrashes: number;

	/** Requests whose callers left, judged runs, and late runs or too much time of entries that had been disturbed, or of too few to count. */
	readonly left: number;
	readonly judgedRuns: number;
	readonly excused: number;

	/** Largest resident memory of an entry, in megabytes. */
	readonly entryPeakMb: number;

	/** Longest time in which this process answered nobody, in milliseconds. */
	readonly longestPauseMs: number;
	readonly breaches: readonly Breach[];
};

const boundsOf = (random: Random, {hasRestarts, hasSilences}: {readonly hasRestarts: boolean; readonly hasSilences: boolean}): FleetBounds => {
	const bounds = {...DEFAULT_FLEET_BOUNDS, versionMs: 3000 + Math.round(random.next() * 2000), stableMs: 1000};
	if (hasSilences) {
		return {...bounds, versionMs: bounds.versionMs + 2000, stableMs: 3000};
	}

	return hasRestarts ? {...bounds, stableMs: 3000, stopGraceMs: 4000 + Math.round(random.next() * 2000)} : bounds;
};

export const runPlatformSoak = async ({seed, seconds, progress, onOutput, size = USUAL_SIZE, hasDeadlyPart = false, hasRestarts = false, hasSilences = false, hasStandstills = false}: {
	readonly seed: string;
	readonly seconds: number;
	readonly progress: (line: string) => void;
	readonly size?: FleetSize;

	/** Whether a part of prompts crashes engines during the storms. */
	readonly hasDeadlyPart?: boolean;

	/** Whether the storms are restarts of entries under full load. */
	readonly hasRestarts?: boolean;

	/** Whether the storms are silent connections to the store, beside changes and restarts. */
	readonly hasSilences?: boolean;

	/** Whether the storms are paths that stand still and then deliver, beside stops of all entries that can't hear each other. */
	readonly hasStandstills?: boolean;

	/** Told all that the processes write. */
	readonly onOutput?: (vm: string, text: string) => void;
}): Promise<PlatformSoakResult> => {
	const startedAt = performance.now();
	const now = (): number => performance.now();
	const bounds = boundsOf(seededRandom(`${seed} bounds`), {hasRestarts, hasSilences});
	const streamTimeoutMs = hasRestarts ? LONG_STREAM_MS : ROUTE_TIMEOUT_MS;
	const fleet = new SoakFleet({
		random: seededRandom(`${seed} upstreams`), deadlyRandom: seededRandom(`${seed} deadly`), now, size, bounds, streamTimeoutMs, onOutput,
	});
	const exchanges: Exchange[] = [];
	const breaches: Breach[] = [];
	const note = ({at, ...breach}: Omit<Breach, 'at'> & {readonly at?: number}): void => {
		breaches.push({...breach, at: Math.round((at ?? now()) - startedAt) / 1000});
	};

	let faultCount = 0;
	const faultRandom = seededRandom(`${seed} faults`);
	const faults = new Faults({
		fleet, random: faultRandom, bounds, now,
	});
	const report = (line: string): void => {
		faultCount++;
		progress(line);
	};

	const restarts = new Restarts({
		fleet, faults, random: seededRandom(`${seed} restarts`), report,
	});
	const silences = new Silences({
		fleet, faults, random: seededRandom(`${seed} silences`), report,
	});
	const standstills = new Standstills({
		fleet, random: seededRandom(`${seed} standstills`), now, report, note,
	});
	const runNextStorm = async (milliseconds: number): Promise<void> => {
		if (hasSilences) {
			return silences.run(milliseconds);
		}

		if (hasStandstills) {
			return standstills.run(milliseconds);
		}

		return hasRestarts
			? restarts.run(milliseconds)
			: runStorm({
				faults, random: faultRandom, milliseconds, report,
			});
	};

	const stopping = new AbortController();
	const pauses = new PauseWatch({now});
	const memory = new MemoryWatch(() => fleet.processes);
	try {
		await fleet.start();
		faults.nameVersion();
		await checkWorking({
			fleet, version: faults.version, limitMs: START_LIMIT_MS, now, note,
		});
		const calling = Array.from({length: CALLERS + (hasRestarts || hasStandstills ? HASTY_CALLERS_AT_RESTARTS : HASTY_CALLERS)}, async (_, id) => new Caller({
			id, random: seededRandom(`${seed} caller ${id}`), now, promptOf: fleet.deadlyPrompts.promptOf, isHasty: id >= CALLERS, streamTimeoutMs,
		}).run(stopping.signal, {
			entryOf: fleet.chooseEntry,
			onExchange(exchange) {
				exchanges.push(exchange);
			},
		}));
		let calmFrom = now();
		let leftMs = seconds * 1000;
		while (leftMs > 0) {
			fleet.deadlyPrompts.isActive = hasDeadlyPart;
			const milliseconds = Math.min(leftMs, STORM_MS * (1 + faultRandom.next()));
			leftMs -= milliseconds;
			await runNextStorm(milliseconds);
			fleet.deadlyPrompts.isActive = false;
			calmFrom = now();
			progress('calm');
			await checkWorking({
				fleet, version: faults.version, limitMs: bounds.recoverMs, now, note,
			});
			progress('works again');
		}

		await delay(Math.max(0, bounds.recoverMs - (now() - calmFrom)) + TAIL_MS);
		stopping.abort();
		await Promise.all(calling);
		checkServed({exchanges, from: calmFrom + bounds.recoverMs, note});
	} finally {
		stopping.abort();
		memory.close();
		pauses.close();
		await fleet.close();
	}

	const {left, judgedRuns, excused} = checkRun({
		fleet, exchanges, memory, bounds, pauses, note,
	});
	for (const {promise, detail} of excused) {
		progress(`not judged: ${promise}: ${detail}`);
	}

	return {
		requests: exchanges.length,
		successes: exchanges.filter(({status, isComplete}) => status === 200 && isComplete).length,
		faults: faultCount,
		namedVersions: faults.version,
		endlessAnswers: [...fleet.runs.values()].flat().filter(({endless}) => endless !== undefined).length,
		deadlyCrashes: fleet.deadlyPrompts.crashes.length,
		left,
		judgedRuns,
		excused: excused.length,
		entryPeakMb: Math.round(Math.max(...fleet.entries.map(entry => memory.peaks.get(entry) ?? 0))),
		longestPauseMs: Math.round(pauses.longestMs),
		breaches,
	};
};
