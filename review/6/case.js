/** One of three model workers spoils a byte in one of fifty answers. All streams may be resumed at another worker. */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Caller} from '../stand-ins-2/caller.js';
import {runCase} from '../stand-ins-2/installation.js';
import {eventText} from '../stand-ins-2/worker.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const WORKERS = 3;
const FAULTY_WORKER = 1;

/** One spoiled answer in so many of the faulty worker. */
const SPOILED_EVERY = 50;

/** In an answer that is spoiled, one digit in the id of this event. */
const SPOILED_EVENT = 8;
const EVENTS = 12;
const EVENTS_PER_WRITE = 2;
const GAP_MS = 10;
const CALLERS = 9;
const REQUESTS_PER_CALLER = 45;

/** Time for which the worker spoils answers, from the first request on. */
const FAULT_MS = 5500;
let faultUntil = Number.POSITIVE_INFINITY;

const spoiledText = (number, answer) => answer % SPOILED_EVERY === 0 && number === SPOILED_EVENT && performance.now() < faultUntil
	? eventText(number).replace(`id: ${number}`, `id: ${number + 1}`)
	: eventText(number);

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async installation => {
	await installation.start({
		entryCount: 3, workerCount: WORKERS,
		workerOptions: index => ({eventsPerWrite: EVENTS_PER_WRITE, ...(HAS_TROUBLE && index === FAULTY_WORKER && {textOf: spoiledText})}),
	});
	const {entryIps} = installation.processes;
	const callers = Array.from({length: CALLERS}, (_, index) => new Caller(entryIps[index % entryIps.length]));
	const results = [];
	faultUntil = performance.now() + FAULT_MS;
	await Promise.all(callers.map(async (caller, index) => {
		for (let number = 0; number < REQUESTS_PER_CALLER; number++) {
			const result = await caller.stream('help', {id: `r-${index}-${number}`, events: EVENTS, gapMs: GAP_MS});
			results.push(result);
			installation.recordResult(result);
		}
	}));
	for (const [index, {answers}] of installation.workers.entries()) {
		installation.record(`worker w-${index} began ${answers} answers${HAS_TROUBLE && index === FAULTY_WORKER ? `, of which it spoiled ${Math.floor(answers / SPOILED_EVERY)}` : ''}`);
	}

	if (HAS_TROUBLE && installation.workers[FAULTY_WORKER].answers < SPOILED_EVERY) {
		throw new Error('the faulty worker got too few requests');
	}

	const violations = [];
	for (const {id, isComplete, numbers} of results) {
		const missing = Array.from({length: EVENTS}, (_, index) => index + 1).filter(number => !numbers.includes(number));
		const isTwice = new Set(numbers).size < numbers.length;
		if (isComplete && (missing.length > 0 || isTwice)) {
			const runs = installation.runs.filter(({request, what}) => request === id && what === 'run').map(({worker, first}) => `${worker} from event ${first}`);
			violations.push(`ORDER: the stream of request ${id} ended as complete with the events ${numbers.join(' ')}; missing: ${missing.join(' ') || 'none'}; runs: ${runs.join(', then ')}`);
		}
	}

	for (const caller of callers) {
		caller.close();
	}

	return violations;
});
