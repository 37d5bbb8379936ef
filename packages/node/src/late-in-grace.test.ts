import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SystemClock} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, configurationItem, DEFAULT_FLEET_BOUNDS, PacedWorker, PLAIN_SERVICE, REQUEST_KINDS, settingsEnvironment, settingsText, StoreStandIn, type RequestKind, UPSTREAM_PREFIX, upstreamItem,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {KeptCaller, type Call, type Outcome} from './testing/kept-caller.js';

const ENTRY_IP = '127.0.45.1';
const STOP_GRACE_MS = DEFAULT_FLEET_BOUNDS.stopGraceMs;

/** Longer than the grace, so that the time limit of a request says nothing about the time that its answer takes. */
const TIMEOUT_MS = 10_000;

/** Time from the last byte of a request to its refusal. Callers abandon a request that isn't read within a second. */
const REFUSAL_MS = 1000;

const clock = new SystemClock();

const until = async (holds: () => boolean): Promise<void> => {
	const end = clock.monotonic() + 5000;
	while (!holds()) {
		expect(clock.monotonic()).to.be.lessThan(end);
		await clock.sleep(10);
	}
};

type KindOutcome = Outcome & {readonly kind: RequestKind};

type KindCall = Pick<Call, 'id' | 'beforeBody' | 'onHead'> & {readonly workMs: number};

describe('an entry in a planned stop', () => {
	let store: StoreStandIn;
	let workers: readonly PacedWorker[];
	let seen: Set<string>;
	let entry: ChildProcess;
	let directory: string;
	let callers: KeptCaller[];
	let output: string;

	/** Opens a connection, and returns a function that sends a request on it. */
	const connect = (): (kind: RequestKind, call: KindCall) => Promise<KindOutcome> => {
		const caller = new KeptCaller(ENTRY_IP);
		callers.push(caller);
		return async (kind, {workMs, ...call}) => ({...await caller.call({...call, path: `/${kind}/x?ms=${workMs}`, remainingMs: TIMEOUT_MS}), kind});
	};

	const stop = (): void => {
		entry.kill('SIGTERM');
	};

	beforeEach(async () => {
		[store, seen, callers] = [new StoreStandIn(), new Set(), []];
		// Enough for the connections that an entry may open to each.
		workers = Array.from({length: 10}, () => new PacedWorker(id => {
			seen.add(id);
		}));
		await Promise.all([store, ...workers].map(async service => service.listen()));
		const configuration = configurationItem({version: 1, originAddress: '127.0.0.1:1'}) as {readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>>};
		const routes = configuration.routes.map(route => ({
			...route, service: PLAIN_SERVICE, timeoutMs: TIMEOUT_MS, goalMs: 2000,
		}));
		store.put(CONFIGURATION_KEY, {...configuration, routes});
		for (const [index, {address}] of workers.entries()) {
			store.put(`${UPSTREAM_PREFIX}${index}`, {
				...(upstreamItem({
					address, service: PLAIN_SERVICE, version: undefined, startedAt: 1,
				}) as Readonly<Record<string, unknown>>), slots: 32,
			});
		}

		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-grace-'));
		const settings = path.join(directory, 'node.conf');
		await writeFile(settings, settingsText({
			vm: 'entry', ip: ENTRY_IP, storeAddress: store.address, entryIps: [],
		}));
		entry = spawn(process.execPath, [fileURLToPath(new URL('main.js', import.meta.url)), 'entry'], {env: {...process.env, ...settingsEnvironment(settings)}, stdio: ['ignore', 'pipe', 'inherit']});
		output = '';
		entry.stdout!.on('data', data => {
			output += String(data);
		});
		const end = clock.monotonic() + 8000;
		for (;;) {
			const outcomes = await Promise.all(REQUEST_KINDS.map(async kind => connect()(kind, {id: `first-${kind}`, workMs: 10})));
			if (outcomes.every(({status}) => status === 200)) {
				return;
			}

			expect(clock.monotonic()).to.be.lessThan(end);
			await clock.sleep(100);
		}
	});

	afterEach(async () => {
		if (entry.exitCode === null) {
			entry.kill('SIGKILL');
			await once(entry, 'exit');
		}

		for (const caller of callers) {
			caller.close();
		}

		await Promise.all([store, ...workers].map(async service => service.close()));
		await rm(directory, {recursive: true});
	});

	/** The requests, each with what the entry logged about it. */
	const describeAll = (outcomes: readonly KindOutcome[]): readonly string[] =>
		outcomes.map(({id, status, error, tookMs}) => [`${id}: ${status ?? error} after ${Math.round(tookMs)} ms`, ...output.split('\n').filter(line => line.includes(`"${id}"`))].join('\n'));

	/** Requests that were passed on and have no complete answer. */
	const cut = (outcomes: readonly KindOutcome[]): readonly string[] => describeAll(outcomes.filter(({id, isComplete}) => !isComplete && seen.has(id)));

	/** Requests that may run once, were passed on, and of which the caller knows no result. */
	const unknown = (outcomes: readonly KindOutcome[]): readonly string[] =>
		describeAll(outcomes.filter(({id, kind, status, isComplete}) => kind === 'once' && seen.has(id) && !(isComplete && status === 200)));

	const expectRefused = (outcome: KindOutcome): void => {
		const {status, headers, id, tookMs} = outcome;
		expect(status, describeAll([outcome])[0]).to.equal(503);
		expect(Number(headers['retry-after']), id).to.be.within(0.01, 2);
		expect(headers.connection, id).to.equal('close');
		expect(tookMs, id).to.be.lessThan(REFUSAL_MS);
		expect(seen.has(id), id).to.equal(false);
	};

	const answerTimes = [300, 900, 1500] as const;

	/** Lets the entry see how long the answers of each route take. */
	const observeAnswers = async (): Promise<void> => {
		await Promise.all(REQUEST_KINDS.flatMap(kind => answerTimes.flatMap(workMs => [1, 2, 3, 4].map(async number => connect()(kind, {id: `seen-${kind}-${workMs}-${number}`, workMs})))));
	};

	describe('whose callers send the next request after a long stream', () => {
		it('cuts no request that it passed on, and refuses at once what it cannot answer', async () => {
			await observeAnswers();
			const calls: Array<Promise<KindOutcome>> = [];
			let begunStreams = 0;
			const follow = async (kind: RequestKind, workMs: number, afterMs: number): Promise<KindOutcome> => {
				const call = connect();
				const before = await call('stream', {
					id: `before-${kind}-${workMs}-${afterMs}`, workMs: afterMs, onHead() {
						begunStreams++;
					},
				});
				expect(before.isComplete, describeAll([before])[0]).to.equal(true);
				return call(kind, {id: `next-${kind}-${workMs}-${afterMs}`, workMs});
			};

			for (const kind of REQUEST_KINDS) {
				for (const workMs of answerTimes) {
					for (const afterMs of [2000, 3500, 4500, 5000]) {
						calls.push(follow(kind, workMs, afterMs));
					}
				}
			}

			// The head of an answer that begins later tells the caller to open a new connection.
			await until(() => begunStreams === calls.length);
			stop();
			const outcomes = await Promise.all(calls);
			expect(cut(outcomes)).to.deep.equal([]);
			expect(unknown(outcomes)).to.deep.equal([]);
			for (const outcome of outcomes.filter(({status}) => status !== 200)) {
				expectRefused(outcome);
			}

			expect(outcomes.filter(({status}) => status === 200).length).to.be.at.least(6);
		});
	});

	describe('that reads the end of a request late', () => {
		it('answers it or refuses it at once', async () => {
			await observeAnswers();
			const times = [500, 1500, 2500, 3500, 4500, 5000, 5300, 5450];
			const calls = REQUEST_KINDS.flatMap(kind => times.flatMap(afterMs => answerTimes.map(async workMs => connect()(kind, {
				id: `late-${kind}-${workMs}-${afterMs}`, workMs, beforeBody: clock.sleep(afterMs),
			}))));
			await clock.sleep(50);
			stop();
			const outcomes = await Promise.all(calls);
			expect(cut(outcomes)).to.deep.equal([]);
			expect(unknown(outcomes)).to.deep.equal([]);
			for (const outcome of outcomes.filter(({status}) => status !== 200)) {
				expectRefused(outcome);
			}

			// At 1.5 s after SIGTERM there is time for all of them.
			expect(outcomes.filter(({id, status}) => (id.endsWith('-500') || id.endsWith('-1500')) && status === 200).length).to.equal(REQUEST_KINDS.length * answerTimes.length * 2);
		});
	});

	describe('with answers that take longer than the grace', () => {
		it('says so before it ends, and promises nothing that it cannot know', async () => {
			const calls = (['once', 'repeatable'] as const).map(async kind => connect()(kind, {id: `long-${kind}`, workMs: STOP_GRACE_MS * 2}));
			await until(() => seen.has('long-once') && seen.has('long-repeatable'));
			stop();
			const outcomes = await Promise.all(calls);
			expect(outcomes.map(({status, isComplete}) => ({status, isComplete}))).to.deep.equal(outcomes.map(() => ({status: 504, isComplete: true})));
		});
	});

	it('refuses at once what may take longer than the grace, while it knows little of the answers of its route', async () => {
		const calls = REQUEST_KINDS.map(async kind => connect()(kind, {id: `unknown-${kind}`, workMs: 100, beforeBody: clock.sleep(1000)}));
		await clock.sleep(50);
		stop();
		for (const outcome of await Promise.all(calls)) {
			expectRefused(outcome);
		}
	});
});
