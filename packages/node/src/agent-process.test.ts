import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SystemClock} from '@yuccawood/common';
import {encodeEngineDirectory, ENGINES_KEY} from '@yuccawood/platform';
import {
	CONFIGURATION_KEY, configurationItem, ENGINE_SERVICE, EngineStandIn, MODEL, targetVersionItem, ThrottledLink, OriginStandIn, settingsEnvironment, settingsText, StoreStandIn, UPSTREAM_PREFIX,
	upstreamItem, VERSION_PREFIX,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';

const IP = '127.0.41.1';
const LINK_BYTES_PER_SECOND = 800_000;
const CONFIGURATION_WRITES = 25;
const WRITE_INTERVAL_MS = 20;
const LARGE_ROUTE_COUNT = 1500;

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

describe('an agent behind a slow link', () => {
	let store: StoreStandIn;
	let engine: EngineStandIn;
	let origin: OriginStandIn;
	let link: ThrottledLink;
	let agent: ChildProcess;
	let directory: string;
	let output = '';

	const largeConfiguration = (version: number): unknown => {
		const base = configurationItem({version, originAddress: origin.address}) as {readonly routes: readonly unknown[]};
		const [route] = base.routes as ReadonlyArray<Readonly<Record<string, unknown>>>;
		return {...base, routes: [...base.routes, ...Array.from({length: LARGE_ROUTE_COUNT}, (_, index) => ({...route, name: `more-${index}`, prefix: `/more-${index}/`}))]};
	};

	beforeEach(async () => {
		[store, engine, origin] = [new StoreStandIn(), new EngineStandIn(), new OriginStandIn()];
		await Promise.all([store.listen(), engine.listen(IP), origin.listen()]);
		engine.loadedVersion = 1;
		store.put(CONFIGURATION_KEY, configurationItem({version: 1, originAddress: origin.address}));
		store.put(`${UPSTREAM_PREFIX}one`, upstreamItem({
			address: engine.address, service: ENGINE_SERVICE, version: 1, startedAt: engine.startedAt,
		}));
		link = new ThrottledLink({target: store.address, bytesPerSecond: LINK_BYTES_PER_SECOND});
		await link.listen();
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-agent-'));
		const settings = path.join(directory, 'node.conf');
		await writeFile(settings, settingsText({
			vm: 'one', ip: IP, storeAddress: link.address, entryIps: [], upstreamAddress: engine.address,
		}));
		output = '';
		store.put(ENGINES_KEY, encodeEngineDirectory({
			revision: 1, services: [{name: ENGINE_SERVICE, models: [MODEL], isRepeatable: true}], origin: {address: origin.address, failureDomain: 'a'},
		}));
		agent = spawn(process.execPath, [fileURLToPath(new URL('main.js', import.meta.url)), 'agent'], {env: {...process.env, ...settingsEnvironment(settings)}, stdio: ['ignore', 'pipe', 'inherit']});
		agent.stdout!.on('data', data => {
			output += String(data);
		});
		await until(() => output.includes('Transfer begins.'));
	});

	afterEach(async () => {
		agent.kill('SIGKILL');
		await Promise.all([link.close(), store.close(), engine.close(), origin.close()]);
		await rm(directory, {recursive: true});
	});

	it('begins a rollout without delay after large configurations were written', async () => {
		const before = link.forwardedBytes;
		for (let version = 2; version < 2 + CONFIGURATION_WRITES; version++) {
			store.put(CONFIGURATION_KEY, largeConfiguration(version));
			await clock.sleep(WRITE_INTERVAL_MS);
		}

		const setAt = clock.monotonic();
		store.put(`${VERSION_PREFIX}${MODEL}`, targetVersionItem(2));
		await until(() => output.includes('"New target version."') && origin.servedManifests > 2);
		expect({
			bytes: link.forwardedBytes - before < 50_000 ? 'few' : link.forwardedBytes - before,
			begun: clock.monotonic() - setAt < 1000 ? 'at once' : clock.monotonic() - setAt,
		}).to.deep.equal({bytes: 'few', begun: 'at once'});
	});

	it('reads the whole list of upstreams once in a rollout, and then only changes', async () => {
		for (let index = 0; index < 150; index++) {
			store.put(`${UPSTREAM_PREFIX}other-${index}`, upstreamItem({
				address: `127.0.42.${index}:1`, service: 'others', version: 1, startedAt: 1000,
			}));
		}

		const listBytes = 150 * 250;
		store.maxPageItems = 500;
		origin.dropsPieceReads = true;
		const before = link.forwardedBytes;
		store.put(`${VERSION_PREFIX}${MODEL}`, targetVersionItem(2));
		await until(() => output.includes('"New target version."'));
		await clock.sleep(4000);
		store.put(`${UPSTREAM_PREFIX}new`, upstreamItem({
			address: '127.0.42.200:1', service: 'others', version: 1, startedAt: 1000,
		}));
		await until(() => output.includes('"127.0.42.200:1"'));
		expect((link.forwardedBytes - before) / listBytes).to.be.within(0.5, 2.5);
	});
});
