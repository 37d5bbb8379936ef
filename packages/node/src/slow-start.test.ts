import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	DEFAULT_FLEET_BOUNDS, EngineStandIn, MODEL, OriginStandIn, settingsEnvironment, settingsText, StoreStandIn, targetVersionItem, VERSION_PREFIX,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';

const IP = '127.0.43.1';
const LOADING_MS = 800;

/** Module that delays the first line of the program, as slow loading of its modules does. */
const SLOW_MODULE = `data:text/javascript,const end = performance.now() + ${LOADING_MS}; while (performance.now() < end) {}`;

type TargetLine = {readonly message: string; readonly countedMs: number};

const targetLine = async (child: ChildProcess): Promise<TargetLine> => new Promise(resolve => {
	let output = '';
	child.stdout!.on('data', data => {
		output += String(data);
		const line = output.split('\n').slice(0, -1).map(text => JSON.parse(text) as TargetLine).find(({message}) => message === 'New target version.');
		if (line) {
			resolve(line);
		}
	});
});

describe('a process whose modules load slowly', () => {
	let store: StoreStandIn;
	let engine: EngineStandIn;
	let origin: OriginStandIn;
	let directory: string;
	let agent: ChildProcess;

	beforeEach(async () => {
		[store, engine, origin] = [new StoreStandIn(), new EngineStandIn(), new OriginStandIn()];
		await Promise.all([store.listen(), engine.listen(IP), origin.listen()]);
		store.put(`${VERSION_PREFIX}${MODEL}`, targetVersionItem(2));
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-start-'));
		const settings = path.join(directory, 'node.conf');
		await writeFile(settings, settingsText({
			vm: 'one', ip: IP, storeAddress: store.address, entryIps: [], upstreamAddress: engine.address,
		}));
		agent = spawn(process.execPath, ['--import', SLOW_MODULE, fileURLToPath(new URL('main.js', import.meta.url)), 'agent'], {
			env: {...process.env, ...settingsEnvironment(settings)}, stdio: ['ignore', 'pipe', 'inherit'],
		});
	});

	afterEach(async () => {
		agent.kill('SIGKILL');
		await Promise.all([store.close(), engine.close(), origin.close()]);
		await rm(directory, {recursive: true});
	});

	it('counts the bound on old versions from its start, not from its first line', async () => {
		const {countedMs} = await targetLine(agent);
		const {versionMs, stableMs} = DEFAULT_FLEET_BOUNDS;
		expect(countedMs).to.be.at.least(versionMs - stableMs + LOADING_MS);
	});
});
