// Guards against a planned stop by settings that were replaced before SIGTERM without a SIGHUP.
import {SystemClock} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, configurationItem, PacedWorker, PLAIN_SERVICE,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {EntryFleet} from './testing/entry-fleet.js';
import {KeptCaller, type Outcome} from './testing/kept-caller.js';

const ENTRY_IP = '127.0.51.1';
const SHORT_GRACE_MS = 3000;
const LONG_GRACE_MS = 8000;

/** Longer than both graces. */
const TIMEOUT_MS = 20_000;

const clock = new SystemClock();

type Item = Readonly<Record<string, unknown>>;

describe('an entry whose grace changes in its settings file without a signal', () => {
	let worker: PacedWorker;
	let fleet: EntryFleet;
	let seen: Set<string>;
	let callers: KeptCaller[];

	const call = async (id: string, path: string): Promise<Outcome> => {
		const caller = new KeptCaller(ENTRY_IP);
		callers.push(caller);
		return caller.call({id, path, remainingMs: TIMEOUT_MS});
	};

	/** Changes the grace while the request is in progress, and stops the entry at once. */
	const stopDuring = async (path: string, [firstMs, lastMs]: readonly [number, number]): Promise<Outcome> => {
		fleet = new EntryFleet({ips: [ENTRY_IP], upstreamAddress: worker.address, stopGraceMs: firstMs});
		await fleet.start();
		const configuration = configurationItem({version: 2, originAddress: '127.0.0.1:1'}) as {readonly routes: readonly Item[]};
		const routes = configuration.routes.map((route): Item => ({...route, service: PLAIN_SERVICE, timeoutMs: TIMEOUT_MS}));
		fleet.store.put(CONFIGURATION_KEY, {...configuration, routes});
		const end = clock.monotonic() + 8000;
		for (let attempt = 0; ; attempt++) {
			const {status} = await call(`first-${attempt}`, '/stream/x?ms=50');
			if (status === 200) {
				break;
			}

			expect(clock.monotonic()).to.be.lessThan(end);
			await clock.sleep(100);
		}

		const outcome = call('last', path);
		while (!seen.has('last')) {
			await clock.sleep(10);
		}

		await fleet.writeSettings(ENTRY_IP, {stopGraceMs: lastMs});
		fleet.stop(ENTRY_IP);
		return outcome;
	};

	beforeEach(async () => {
		[seen, callers] = [new Set(), []];
		worker = new PacedWorker(id => {
			seen.add(id);
		});
		await worker.listen();
	});

	afterEach(async () => {
		for (const caller of callers) {
			caller.close();
		}

		await fleet.close();
		await worker.close();
	});

	it('does not cut a stream that ends before the longer grace', async () => {
		const {status, isComplete} = await stopDuring('/stream/x?ms=4500', [SHORT_GRACE_MS, LONG_GRACE_MS]);
		expect({status, isComplete}).to.deep.equal({status: 200, isComplete: true});
	}).timeout(30_000);

	it('gives its last answers before the shorter grace ends', async () => {
		const {status, isComplete, tookMs} = await stopDuring('/once/x?ms=15000', [LONG_GRACE_MS, SHORT_GRACE_MS]);
		expect({status, isComplete}).to.deep.equal({status: 504, isComplete: true});
		expect(tookMs).to.be.lessThan(SHORT_GRACE_MS);
	}).timeout(30_000);
});
