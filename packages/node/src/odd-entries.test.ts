import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SystemClock} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, configurationItem, PLAIN_SERVICE, readinessAddressOf, settingsEnvironment, settingsText, StoreStandIn, UPSTREAM_PREFIX, upstreamItem,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';

const ENTRY_IP = '127.0.47.1';
const DEPTH = 100_000;
const clock = new SystemClock();

const sound = upstreamItem({
	service: PLAIN_SERVICE, address: '127.0.47.2:1', startedAt: 1, version: undefined,
}) as Readonly<Record<string, unknown>>;

const nestedLists = `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`;
const oddValues: readonly unknown[] = [
	...['127.0.47.2:65536', '127.0.47.2:99999', '127.0.47.2:-1', '127.0.47.2:1e3', '127.0.47.2', '', 'a b:1', '[127.0.47.2:1', 'a\n:1', 'a\0:1'].map(address => ({...sound, address})),
	{...sound, slots: 1e308},
	{...sound, born: 1e308},
	{...sound, slots: -1},
	nestedLists,
	JSON.stringify({...sound, models: 'NESTED'}).replace('"NESTED"', () => nestedLists),
	{...sound, address: 'a'.repeat(900_000)},
];

const oddEntries: readonly string[] = ['', '127.0.47.3:99999', 'a b:1', '[::1:1', '127.0.47.3', nestedLists];

describe('an entry process beside odd entries of another writer', () => {
	let store: StoreStandIn;
	let entry: ChildProcess;
	let directory: string;
	let output: string;

	const until = async (what: string, holds: () => boolean | Promise<boolean>): Promise<void> => {
		const end = clock.monotonic() + 8000;
		while (!await holds()) {
			if (clock.monotonic() > end) {
				throw new Error(`${what} did not come true within 8 s`);
			}

			await clock.sleep(20);
		}
	};

	const isListed = (id: string): boolean => output.split('\n').some(line => line.includes('"Upstream is listed."') && line.includes(`"id":"${id}"`));
	const isInForce = (version: number): boolean => output.split('\n').some(line => line.includes('"Configuration is in force."') && line.includes(`"version":${version}`));
	const configure = (version: number): void => {
		store.put(CONFIGURATION_KEY, configurationItem({version, originAddress: '127.0.47.9:1'}));
	};

	const statusOfReadiness = async (): Promise<number> => new Promise(resolve => {
		http.get(`http://${readinessAddressOf(ENTRY_IP)}/ready`, {agent: false}, response => {
			response.resume();
			resolve(response.statusCode ?? 0);
		}).on('error', () => {
			resolve(0);
		});
	});

	beforeEach(async () => {
		store = new StoreStandIn();
		await store.listen();
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-odd-'));
		const settings = path.join(directory, 'node.conf');
		await writeFile(settings, settingsText({
			vm: 'entry', ip: ENTRY_IP, storeAddress: store.address, entryIps: [],
		}));
		output = '';
		configure(1);
		entry = spawn(process.execPath, [fileURLToPath(new URL('main.js', import.meta.url)), 'entry'], {env: {...process.env, ...settingsEnvironment(settings)}, stdio: ['ignore', 'pipe', 'inherit']});
		entry.stdout!.on('data', data => {
			output += String(data);
		});
		await until('the first configuration', () => isInForce(1));
	});

	afterEach(async () => {
		entry.kill('SIGKILL');
		await store.close();
		await rm(directory, {recursive: true});
	});

	it('goes on, and follows upstreams and configurations that come later', async () => {
		for (const [index, value] of oddValues.entries()) {
			store.put(`${UPSTREAM_PREFIX}odd-${index}`, value);
		}

		for (const [index, value] of oddEntries.entries()) {
			store.put(`yuccawood/entries/odd-${index}`, value);
		}

		store.put(`${UPSTREAM_PREFIX}z`, sound);
		await until('the upstream listed after the odd ones', () => isListed('z'));
		await until('readiness', async () => await statusOfReadiness() === 200);
		store.put(`${UPSTREAM_PREFIX}later`, {...sound, address: '127.0.47.2:2'});
		configure(2);
		await until('the later upstream and configuration', () => isListed('later') && isInForce(2));
		expect(oddValues.some((_, index) => isListed(`odd-${index}`))).to.equal(false);
		expect(output).to.not.include('A promise was rejected without a handler.').and.not.include('An error was not caught.');
		expect(entry.exitCode).to.equal(null);
	});
});
