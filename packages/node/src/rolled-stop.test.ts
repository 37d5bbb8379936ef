import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SystemClock} from '@yuccawood/common';
import {
	callerAddressOf, CONFIGURATION_KEY, configurationItem, DEFAULT_FLEET_BOUNDS, PLAIN_SERVICE, readinessAddressOf, settingsEnvironment, settingsText, StoreStandIn, UPSTREAM_PREFIX, upstreamItem,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';

const IPS = ['127.0.46.1', '127.0.46.2', '127.0.46.3'] as const;
const STOP_GRACE_MS = 8000;

/** Time between the stops of two entries, and from the stop of an entry to its next start. */
const STOP_INTERVAL_MS = 2000;
const RESTART_AFTER_MS = 6000;
const CHECK_INTERVAL_MS = 50;

const clock = new SystemClock();

const isReady = async (ip: string): Promise<boolean> => new Promise(resolve => {
	const request = http.get(`http://${readinessAddressOf(ip)}/ready`, {agent: false, timeout: 500}, response => {
		response.resume();
		resolve(response.statusCode === 200);
	});
	request.on('error', () => {
		resolve(false);
	});
	request.on('timeout', () => {
		request.destroy();
	});
});

const acceptsConnections = async (ip: string): Promise<boolean> => new Promise(resolve => {
	const [host, port] = callerAddressOf(ip).split(':');
	const socket = net.connect(Number(port), host, () => {
		socket.destroy();
		resolve(true);
	});
	socket.on('error', () => {
		resolve(false);
	});
});

type Sample = {readonly atMs: number; readonly ready: number; readonly accepting: number};

describe('entries that are stopped', () => {
	let store: StoreStandIn;
	let directory: string;
	let entries: Map<string, ChildProcess>;

	const start = async (ip: string): Promise<void> => {
		const settings = path.join(directory, `${ip}.conf`);
		await writeFile(settings, settingsText({
			vm: ip, ip, storeAddress: store.address, entryIps: IPS.filter(other => other !== ip), bounds: {...DEFAULT_FLEET_BOUNDS, stopGraceMs: STOP_GRACE_MS},
		}));
		entries.set(ip, spawn(process.execPath, [fileURLToPath(new URL('main.js', import.meta.url)), 'entry'], {env: {...process.env, ...settingsEnvironment(settings)}, stdio: ['ignore', 'ignore', 'inherit']}));
	};

	const kill = async (entry: ChildProcess): Promise<void> => {
		if (entry.exitCode === null && entry.signalCode === null) {
			entry.kill('SIGKILL');
			await once(entry, 'exit');
		}
	};

	const areListed = (): boolean => IPS.every(ip => store.read(`yuccawood/entries/${ip}`) !== undefined);

	const sample = async (atMs: number): Promise<Sample> => {
		const [ready, accepting] = await Promise.all([isReady, acceptsConnections].map(async check => Promise.all(IPS.map(async ip => check(ip)))));
		return {atMs, ready: ready.filter(Boolean).length, accepting: accepting.filter(Boolean).length};
	};

	beforeEach(async () => {
		store = new StoreStandIn();
		entries = new Map();
		await store.listen();
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-rolled-'));
		store.put(CONFIGURATION_KEY, configurationItem({version: 1, originAddress: '127.0.0.1:1'}));
		store.put(`${UPSTREAM_PREFIX}one`, upstreamItem({
			address: '127.0.0.1:1', service: PLAIN_SERVICE, version: undefined, startedAt: 1,
		}));
		await Promise.all(IPS.map(async ip => start(ip)));
		const end = clock.monotonic() + 8000;
		for (;;) {
			const {ready} = await sample(0);
			if (ready === IPS.length && areListed()) {
				break;
			}

			expect(clock.monotonic()).to.be.lessThan(end);
			await clock.sleep(CHECK_INTERVAL_MS);
		}

		// Until each entry has read that the others are listed.
		await clock.sleep(500);
	});

	afterEach(async () => {
		await Promise.all([...entries.values()].map(async entry => kill(entry)));
		await store.close();
		await rm(directory, {recursive: true});
	});

	describe('one after the other, so that the last one is stopped before the first one is back', () => {
		it('leave no moment without one that is ready and takes connections', async () => {
			const startedAt = clock.monotonic();
			const at = async (ms: number): Promise<void> => clock.sleep(Math.max(0, startedAt + ms - clock.monotonic()));
			const roll = async (ip: string, stopMs: number): Promise<void> => {
				await at(stopMs);
				const entry = entries.get(ip)!;
				entry.kill('SIGTERM');
				await at(stopMs + RESTART_AFTER_MS);
				if (stopMs < STOP_INTERVAL_MS * 2) {
					await kill(entry);
					await start(ip);
				}
			};

			const samples: Sample[] = [];
			const rolling = Promise.all(IPS.map(async (ip, index) => roll(ip, index * STOP_INTERVAL_MS)));
			const endMs = STOP_INTERVAL_MS + RESTART_AFTER_MS + 500;
			while (clock.monotonic() - startedAt < endMs) {
				samples.push(await sample(Math.round(clock.monotonic() - startedAt)));
				await clock.sleep(CHECK_INTERVAL_MS);
			}

			await rolling;
			expect(samples.filter(({accepting}) => accepting === 0)).to.deep.equal([]);
			expect(samples.filter(({ready}) => ready === 0)).to.deep.equal([]);
		}).timeout(30_000);
	});

	describe('at the same time', () => {
		it('all leave at once', async () => {
			for (const entry of entries.values()) {
				entry.kill('SIGTERM');
			}

			await clock.sleep(1500);
			const {ready, accepting} = await sample(1500);
			expect({ready, accepting}).to.deep.equal({ready: 0, accepting: IPS.length});
		});
	});
});
