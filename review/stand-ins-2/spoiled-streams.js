/** A case in which one of three model workers spoils one byte in one of fifty answers. All streams may be resumed at another worker. */
import process from 'node:process';
import {Caller} from './caller.js';
import {eventText} from './worker.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const WORKERS = 3;
const FAULTY_WORKER = 1;

/** One spoiled answer in so many of the faulty worker, and the time for which it spoils answers, from the first request on. */
const SPOILED_EVERY = 50;
const FAULT_MS = 5500;

const EVENTS = 12;
const EVENTS_PER_WRITE = 2;
const GAP_MS = 10;
const CALLERS = 9;
const REQUESTS_PER_CALLER = 45;

/**
Sends streams through all entries. An event that a worker spoiled itself is not counted.

@param spoiled the event that is spoiled, and its id line with one wrong byte
@returns the streams that ended as complete without events that a worker had sent as they should be, or with an event twice
*/
export const sendStreams = async (installation, spoiled) => {
	let faultUntil = Number.POSITIVE_INFINITY;
	const spoiledText = (number, answer) => answer % SPOILED_EVERY === 0 && number === spoiled.event && performance.now() < faultUntil
		? eventText(number).replace(`id: ${number}`, spoiled.line)
		: eventText(number);
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
		const isFaulty = HAS_TROUBLE && index === FAULTY_WORKER;
		installation.record(`worker w-${index} began ${answers} answers${isFaulty ? `, and spoiled each ${SPOILED_EVERY}th for ${FAULT_MS} ms` : ''}`);
	}

	for (const caller of callers) {
		caller.close();
	}

	if (HAS_TROUBLE && installation.workers[FAULTY_WORKER].answers < SPOILED_EVERY) {
		throw new Error('the faulty worker got too few requests');
	}

	const violations = [];
	for (const {id, isComplete, numbers} of results) {
		const missing = Array.from({length: EVENTS}, (_, index) => index + 1).filter(number => !numbers.includes(number) && number !== spoiled.event);
		const isTwice = new Set(numbers).size < numbers.length;
		if (isComplete && (missing.length > 0 || isTwice)) {
			const runs = installation.runs.filter(({request, what}) => request === id && what === 'run').map(({worker, first}) => `${worker} from event ${first}`);
			const found = `the events ${numbers.join(' ') || 'none but the spoiled one'}; missing: ${missing.join(' ') || 'none'}`;
			violations.push(`ORDER: the stream of request ${id} ended as complete with ${found}; runs: ${runs.join(', then ')}`);
		}
	}

	return violations;
};
