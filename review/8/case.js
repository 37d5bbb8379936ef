/** A planned stop of one entry, while a client goes on using the channel that it has. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Caller, LIMIT_MS} from '../stand-ins-2/caller.js';
import {runCase} from '../stand-ins-2/installation.js';
import {GRACE_MS} from '../stand-ins-2/processes.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Usual streams of the route `tip` and the longest one of the site's sheet, in events. An event takes as long as at a busy worker. */
const USUAL_EVENTS = 12;
const LONGEST_EVENTS = 51;
const GAP_MS = 100;

/** Stream that the client receives when SIGTERM comes, and the time before SIGTERM at which it asked for it. */
const RUNNING_EVENTS = 36;
const BEFORE_STOP_MS = 350;

/** Requests sent later than this after SIGTERM must be refused or answered. */
const LATE_MS = 3000;

const CALLERS = 4;
const STOPPED = 'front-0';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async installation => {
	await installation.start({entryCount: 3, workerCount: 6});
	const [ip] = installation.processes.entryIps;
	const callers = Array.from({length: CALLERS}, () => new Caller(ip));
	for (let round = 0; round < 4; round++) {
		const usual = await Promise.all(callers.map(async (caller, index) => caller.stream('tip', {id: `usual-${round}-${index}`, events: USUAL_EVENTS, gapMs: GAP_MS})));
		for (const result of usual) {
			installation.recordResult(result);
		}
	}

	const following = callers.map(async (caller, index) => {
		const running = await caller.stream('guide', {id: `running-${index}`, events: RUNNING_EVENTS, gapMs: GAP_MS});
		installation.recordResult(running);
		const next = await caller.stream('tip', {id: `next-${index}`, events: LONGEST_EVENTS, gapMs: GAP_MS});
		installation.recordResult(next);
		return next;
	});
	await sleep(BEFORE_STOP_MS);
	const stoppedAt = performance.now();
	if (HAS_TROUBLE) {
		installation.record(`SIGTERM to ${STOPPED}`);
		installation.processes.stop(STOPPED);
	}

	const results = await Promise.all(following);
	await sleep(Math.max(0, stoppedAt + GRACE_MS + 500 - performance.now()));
	const {runs} = installation;
	const violations = [];
	for (const {id, isComplete, isReused, sentAt, endedAt, status} of results) {
		for (const line of installation.processes.linesAbout(STOPPED, id)) {
			installation.record(`${STOPPED} wrote: ${line}`);
		}

		const wasPassedOn = runs.some(({request, what}) => request === id && what === 'run');
		const isLate = sentAt > stoppedAt + LATE_MS;
		const hadTime = endedAt - sentAt < Math.min(LIMIT_MS, 6000) - 200;
		if (HAS_TROUBLE && !(isLate && isReused)) {
			throw new Error(`request ${id} was not sent later than ${LATE_MS} ms after SIGTERM on the channel that the client had`);
		}

		if (wasPassedOn && !isComplete && hadTime) {
			const ages = `sent ${Math.round(sentAt - stoppedAt)} ms after SIGTERM, ended ${Math.round(endedAt - sentAt)} ms later`;
			violations.push(`LOST: request ${id} (${ages}) was passed on to a worker; its channel ended with status ${status} and no complete answer, while the worker was at work`);
		}
	}

	for (const caller of callers) {
		caller.close();
	}

	return violations;
});
