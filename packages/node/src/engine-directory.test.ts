import {setMaxListeners} from 'node:events';
import {
	MemoryMetrics, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {FleetView, StoreFollower, type StorePart} from '@yuccawood/fleet';
import {
	ALL_PARTS, CONFIGURATION_KEY, ENGINES_KEY, PlatformItemDecoder, StoreClient, VERSIONS_PART,
} from '@yuccawood/platform';
import {configurationItem, ENGINE_SERVICE, StoreStandIn} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {EngineDirectoryPublisher, directoryToWrite} from './engine-directory-publisher.js';
import {EngineDirectoryReader} from './engine-directory-reader.js';

const clock = new SystemClock();

const until = async (holds: () => boolean): Promise<void> => {
	const end = clock.monotonic() + 12_000;
	while (!holds()) {
		if (clock.monotonic() > end) {
			throw new Error('the condition did not come true within 12 s');
		}

		await clock.sleep(10);
	}
};

type Stored = {readonly revision: number; readonly origin: {readonly address: string}};

describe('directory of engines', function () {
	this.timeout(20_000);
	let store: StoreStandIn;
	let stop: AbortController;
	let closers: Array<() => Promise<void>>;

	beforeEach(async () => {
		store = new StoreStandIn();
		await store.listen();
		stop = new AbortController();
		setMaxListeners(0, stop.signal);
		closers = [];
		store.put(CONFIGURATION_KEY, configurationItem({version: 1, originAddress: 'a:1'}));
	});

	afterEach(async () => {
		stop.abort();
		for (const close of closers) {
			await close();
		}

		await store.close();
	});

	const stored = (): Stored | undefined => {
		const text = store.read(ENGINES_KEY);
		return text === undefined ? undefined : JSON.parse(text) as Stored;
	};

	const connect = (parts: readonly StorePart[], seed: number) => {
		const client = new StoreClient({address: store.address, timeoutMs: 300, watchSlackMs: 300});
		const view = new FleetView({clock, log: SILENT_LOG});
		const options = {
			clock, random: seededRandom(seed), log: SILENT_LOG, metrics: new MemoryMetrics(),
		};
		const follower = new StoreFollower({
			...options, source: client, decoder: new PlatformItemDecoder(), view, parts,
		});
		const following = follower.run(stop.signal);
		closers.push(async () => {
			await client.close();
			await following;
			view.close();
		});
		return {
			...options, store: client, view, follower,
		};
	};

	const startEntry = (seed: number) => {
		const connected = connect(ALL_PARTS, seed);
		void new EngineDirectoryPublisher(connected).run(stop.signal);
		return connected;
	};

	const startAgent = (seed: number) => {
		const reader = new EngineDirectoryReader(connect([VERSIONS_PART], seed));
		void reader.run(() => true, stop.signal);
		return reader;
	};

	describe('written by entries', () => {
		it('is written by one of several entries, and again only when it changes', async () => {
			for (let seed = 0; seed < 6; seed++) {
				startEntry(seed);
			}

			await until(() => stored() !== undefined);
			await clock.sleep(800);
			const first = store.revision;
			store.put(CONFIGURATION_KEY, configurationItem({version: 2, originAddress: 'a:1'}));
			await clock.sleep(800);
			expect(store.revision).to.equal(first + 1);
			store.put(CONFIGURATION_KEY, configurationItem({version: 3, originAddress: 'b:1'}));
			await until(() => stored()?.origin.address === 'b:1');
			await clock.sleep(800);
			expect(store.revision).to.equal(first + 3);
		});

		it('is not overwritten by an entry that has an older configuration', async () => {
			const {view} = startEntry(1);
			await until(() => stored() !== undefined && view.engines !== undefined);
			const newer = {...view.engines!, directory: {...view.engines!.directory, revision: view.inForce!.revision + 1, services: []}};
			expect(directoryToWrite(view.inForce, newer)).to.equal(undefined);
			expect(directoryToWrite(view.inForce, {...newer, directory: {...newer.directory, revision: view.inForce!.revision - 1}})).to.not.equal(undefined);
		});
	});

	describe('read by agents', () => {
		it('contains the engines and the origin, and is updated when the origin moves', async () => {
			startEntry(1);
			const reader = startAgent(2);
			await until(() => reader.directory?.origin?.address === 'a:1');
			expect(reader.directory!.services.map(({name}) => name)).to.deep.equal([ENGINE_SERVICE]);
			store.put(CONFIGURATION_KEY, configurationItem({version: 2, originAddress: 'b:1'}));
			await until(() => reader.directory?.origin?.address === 'b:1');
		});

		it('is built from the configuration if no entry has written it', async () => {
			const reader = startAgent(3);
			await until(() => reader.directory?.origin?.address === 'a:1');
			startEntry(4);
			store.put(CONFIGURATION_KEY, configurationItem({version: 2, originAddress: 'b:1'}));
			await until(() => reader.directory?.origin?.address === 'b:1');
		});
	});
});
