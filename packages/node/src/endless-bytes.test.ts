/**
Guards against a process that runs out of memory, or of time for its other callers, because services send bytes without end.
The programs run with the memory limits of the deploy file.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SystemClock} from '@yuccawood/common';
import {encodeEngineDirectory, ENGINES_KEY} from '@yuccawood/platform';
import {
	callerHeaders, completeResponse, configurationItem, CONFIGURATION_KEY, DEFAULT_FLEET_BOUNDS, endlessAnswers, ENGINE_SERVICE, EngineStandIn, PLAIN_SERVICE, RawUpstream, settingsEnvironment,
	settingsText, StoreStandIn, targetVersionItem, upstreamItem, UPSTREAM_PREFIX, VERSION_PREFIX, MODEL, callerAddressOf, type RawResponse,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';

const ENTRY_IP = '127.0.45.1';
const AGENT_IP = '127.0.45.2';
const METRICS_PORT = 7701;

/** Requests to faulty upstreams that are open at the same time, and the faulty upstreams. */
const FAULTY_CALLERS = 40;
const FAULTY_UPSTREAMS = 5;

/** Interval and time limit of the requests of other callers, in milliseconds. */
const OTHER_INTERVAL_MS = 25;
const OTHER_LIMIT_MS = 2000;

/** Time for which a service sends an agent or entry bytes of one form, in milliseconds. */
const FORM_MS = 250;

const clock = new SystemClock();

const until = async (holds: () => boolean): Promise<void> => {
	const end = clock.monotonic() + 8000;
	while (!holds()) {
		if (clock.monotonic() > end) {
			throw new Error('the condition did not come true within 8 s');
		}

		await clock.sleep(10);
	}
};

/** @returns the status; 0 if the call failed or took longer than the limit */
const call = async (options: http.RequestOptions, limitMs = OTHER_LIMIT_MS): Promise<number> => new Promise(resolve => {
	const request = http.request({...options, agent: false, timeout: limitMs}, response => {
		response.resume();
		response.on('close', () => {
			resolve(response.complete ? response.statusCode! : 0);
		});
	});
	request.on('timeout', () => request.destroy());
	request.on('error', () => {
		resolve(0);
	});
	request.end();
});

/** Largest memory that a process has used so far, in megabytes. */
const peakMegabytes = async ({pid}: ChildProcess): Promise<number> => {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1024;
};

describe('services that send bytes without end', () => {
	let store: StoreStandIn;
	let faulty: RawUpstream[];
	let sound: RawUpstream;
	let child: ChildProcess;
	let directory: string;
	let output: string;
	let form: (id: string) => RawResponse;
	let closers: Array<() => Promise<void>>;

	const spawnProgram = async (role: 'entry' | 'agent', {heapMb, ...settings}: Parameters<typeof settingsText>[0] & {readonly heapMb: number}): Promise<void> => {
		const file = path.join(directory, 'node.conf');
		await writeFile(file, settingsText(settings));
		child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, fileURLToPath(new URL('main.js', import.meta.url)), role], {
			env: {...process.env, ...settingsEnvironment(file)}, stdio: ['ignore', 'pipe', 'inherit'],
		});
		child.stdout!.on('data', data => {
			output = (output + String(data)).slice(-100_000);
		});
	};

	beforeEach(async () => {
		output = '';
		closers = [];
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-endless-'));
		store = new StoreStandIn();
		form = Object.values(endlessAnswers)[0];
		faulty = Array.from({length: FAULTY_UPSTREAMS}, () => new RawUpstream(id => form(id)));
		sound = new RawUpstream(id => completeResponse(id, 'done'));
		await Promise.all([store.listen(), sound.listen(), ...faulty.map(async upstream => upstream.listen())]);
		store.put(CONFIGURATION_KEY, configurationItem({version: 1, originAddress: faulty[0].address}));
	});

	afterEach(async () => {
		child.kill('SIGKILL');
		await Promise.all(closers.map(async close => close()));
		await Promise.all([store.close(), sound.close(), ...faulty.map(async upstream => upstream.close())]);
		await rm(directory, {recursive: true});
	});

	/** Sends requests to the sound upstream until the work is done. @returns their statuses */
	const statusesOfOthersDuring = async (work: Promise<void>): Promise<readonly number[]> => {
		const done = new AbortController();
		const calls: Array<Promise<number>> = [];
		const finish = (async () => {
			await work;
			done.abort();
		})();
		while (!done.signal.aborted) {
			calls.push(call({
				host: ENTRY_IP, port: callerAddressOf(ENTRY_IP).split(':')[1], path: '/repeatable/x', headers: callerHeaders({requestId: `other-${calls.length}`, remainingMs: OTHER_LIMIT_MS}),
			}));
			await clock.sleep(OTHER_INTERVAL_MS);
		}

		await finish;
		return Promise.all(calls);
	};

	describe('many upstreams, to an entry', () => {
		beforeEach(async () => {
			store.put(`${UPSTREAM_PREFIX}sound`, upstreamItem({
				address: sound.address, service: PLAIN_SERVICE, startedAt: 1, version: undefined,
			}));
			await spawnProgram('entry', {
				vm: 'entry', ip: ENTRY_IP, storeAddress: store.address, entryIps: [], heapMb: 160,
			});
			await until(() => output.includes('"Configuration is in force."') && output.includes('"Upstream is listed."'));
			await clock.sleep(300);
		});

		const expectServesOthers = async (answer: (id: string) => RawResponse): Promise<void> => {
			form = answer;
			for (const [index, {address}] of faulty.entries()) {
				store.put(`${UPSTREAM_PREFIX}faulty-${index}`, upstreamItem({
					address, service: ENGINE_SERVICE, startedAt: 1, version: 1,
				}));
			}

			await clock.sleep(100);
			const callFaulty = async (): Promise<void> => {
				for (let round = 0; round < 2; round++) {
					await Promise.all(Array.from({length: FAULTY_CALLERS}, async (_, index) => call({
						host: ENTRY_IP, port: callerAddressOf(ENTRY_IP).split(':')[1], path: '/stream/x', headers: callerHeaders({requestId: `faulty-${round}-${index}`, remainingMs: 1000}),
					}, 1500)));
				}
			};

			const statuses = await statusesOfOthersDuring(callFaulty());
			expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
			expect(child.exitCode).to.equal(null);
			expect(await peakMegabytes(child)).to.be.below(DEFAULT_FLEET_BOUNDS.entryMemoryMb);
			expect(faulty.reduce((sum, {requestCount}) => sum + requestCount, 0)).to.be.greaterThan(0);
		};

		for (const [name, answer] of Object.entries(endlessAnswers)) {
			it(`leave it enough memory, and time for its other callers: ${name}`, async () => {
				await expectServesOthers(answer);
			});
		}
	});

	/** Lets each form last for a while. Expects that the process goes on within its memory, and answers. */
	const expectGoesOn = async (ip: string, memoryMb: number): Promise<void> => {
		for (const [name, answer] of Object.entries(endlessAnswers)) {
			form = answer;
			await clock.sleep(FORM_MS);
			expect(await call({host: ip, port: METRICS_PORT, path: '/metrics'}), name).to.equal(200);
			expect(child.exitCode).to.equal(null);
			expect(await peakMegabytes(child), name).to.be.below(memoryMb);
		}
	};

	describe('the store', () => {
		it('leaves an entry enough memory and time', async () => {
			await spawnProgram('entry', {
				vm: 'entry', ip: ENTRY_IP, storeAddress: faulty[0].address, entryIps: [], heapMb: 160,
			});
			await until(() => output.includes('Entry starts.'));
			await expectGoesOn(ENTRY_IP, DEFAULT_FLEET_BOUNDS.entryMemoryMb);
			expect(faulty[0].requestCount).to.be.greaterThan(0);
		});

		it('leaves an agent enough memory and time', async () => {
			await spawnProgram('agent', {
				vm: 'agent', ip: AGENT_IP, storeAddress: faulty[0].address, entryIps: [], upstreamAddress: sound.address, heapMb: 96,
			});
			await until(() => faulty[0].requestCount > 0);
			await expectGoesOn(AGENT_IP, DEFAULT_FLEET_BOUNDS.agentMemoryMb);
		});
	});

	describe('to an agent', () => {
		it('leave it enough memory and time if it is its engine', async () => {
			await spawnProgram('agent', {
				vm: 'agent', ip: AGENT_IP, storeAddress: store.address, entryIps: [], upstreamAddress: faulty[0].address, heapMb: 96,
			});
			await until(() => faulty[0].requestCount > 0);
			await expectGoesOn(AGENT_IP, DEFAULT_FLEET_BOUNDS.agentMemoryMb);
		});

		it('leave it enough memory and time if they are the origin and the peers during a rollout', async function () {
			this.timeout(25_000);
			const engine = new EngineStandIn();
			await engine.listen(AGENT_IP);
			closers.push(async () => engine.close());
			engine.loadedVersion = 1;
			store.put(`${UPSTREAM_PREFIX}one`, upstreamItem({
				address: engine.address, service: ENGINE_SERVICE, version: 1, startedAt: engine.startedAt,
			}));
			store.put(`${VERSION_PREFIX}${MODEL}`, targetVersionItem(2));
			store.put(ENGINES_KEY, encodeEngineDirectory({
				revision: 1, services: [{name: ENGINE_SERVICE, models: [MODEL], isRepeatable: true}], origin: {address: faulty[0].address, failureDomain: 'a'},
			}));
			const peer = new RawUpstream(id => form(id));
			await peer.listen('127.0.45.3', 7700);
			closers.push(async () => peer.close());
			store.put(`${UPSTREAM_PREFIX}two`, upstreamItem({
				address: '127.0.45.3:9', service: ENGINE_SERVICE, version: 2, startedAt: 1,
			}));
			await spawnProgram('agent', {
				vm: 'agent', ip: AGENT_IP, storeAddress: store.address, entryIps: [], upstreamAddress: engine.address, heapMb: 96,
			});
			await until(() => peer.requestCount > 0);
			await expectGoesOn(AGENT_IP, DEFAULT_FLEET_BOUNDS.agentMemoryMb);
			expect(faulty[0].requestCount).to.be.greaterThan(0);
		});
	});
});
