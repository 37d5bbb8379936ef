import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {PeerServer, SystemClock} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, configurationItem, ENGINE_SERVICE, EngineStandIn, OriginStandIn, settingsEnvironment, settingsText, StoreStandIn, UPSTREAM_PREFIX, upstreamItem,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';

const ENTRY_IP = '127.0.44.1';
const AGENT_IP = '127.0.44.2';
const PEER_PORT = 7700;

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

describe('an entry that learns of the upstreams before the configuration', () => {
	let store: StoreStandIn;
	let engine: EngineStandIn;
	let origin: OriginStandIn;
	let agent: PeerServer;
	let feeds: number;
	let entry: ChildProcess;
	let directory: string;
	let output: string;

	beforeEach(async () => {
		[store, engine, origin, agent] = [new StoreStandIn(), new EngineStandIn(), new OriginStandIn(), new PeerServer()];
		await Promise.all([store.listen(), engine.listen(AGENT_IP), origin.listen(), agent.listen(AGENT_IP, PEER_PORT)]);
		feeds = 0;
		agent.registerHandler('/reports', (_request, response) => {
			feeds++;
			response.writeHead(200);
			response.flushHeaders();
		});
		store.put(`${UPSTREAM_PREFIX}one`, upstreamItem({
			address: engine.address, service: ENGINE_SERVICE, version: 1, startedAt: engine.startedAt,
		}));
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-entry-'));
		const settings = path.join(directory, 'node.conf');
		await writeFile(settings, settingsText({
			vm: 'entry', ip: ENTRY_IP, storeAddress: store.address, entryIps: [],
		}));
		output = '';
		entry = spawn(process.execPath, [fileURLToPath(new URL('main.js', import.meta.url)), 'entry'], {env: {...process.env, ...settingsEnvironment(settings)}, stdio: ['ignore', 'pipe', 'inherit']});
		entry.stdout!.on('data', data => {
			output += String(data);
		});
		await until(() => output.includes('"Upstream is listed."') && store.read('yuccawood/entries/entry') !== undefined);
		await clock.sleep(500);
	});

	afterEach(async () => {
		entry.kill('SIGKILL');
		await Promise.all([store.close(), engine.close(), origin.close(), agent.close()]);
		await rm(directory, {recursive: true});
	});

	it('reads the reports of the agents as soon as it has the configuration', async () => {
		store.put(CONFIGURATION_KEY, configurationItem({version: 1, originAddress: origin.address}));
		await until(() => output.includes('"Configuration is in force."'));
		await clock.sleep(2500);
		expect(feeds).to.be.at.least(1);
	});

	it('reads the reports of the agents after the next change of the list of upstreams', async () => {
		store.put(CONFIGURATION_KEY, configurationItem({version: 1, originAddress: origin.address}));
		await until(() => output.includes('"Configuration is in force."'));
		store.put(`${UPSTREAM_PREFIX}two`, upstreamItem({
			address: '127.0.44.3:1', service: ENGINE_SERVICE, version: 1, startedAt: 1000,
		}));
		await until(() => feeds > 0);
	});
});
