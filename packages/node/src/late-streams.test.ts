// Guards against streams that a stopping entry admits by an estimate and cuts at the end of its grace.
import {SystemClock} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, configurationItem, ENGINE_SERVICE, PacedWorker, PLAIN_SERVICE, type StoreStandIn, UPSTREAM_PREFIX, upstreamItem,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {EntryFleet} from './testing/entry-fleet.js';
import type {Outcome} from './testing/kept-caller.js';
import {LateCallers} from './testing/late-callers.js';

const ENTRY_IP = '127.0.50.1';
const TIMEOUT_MS = 6000;

/** Times after SIGTERM. The load balancer may use the entry until 3 s. */
const SENT_AFTER_MS = [3200, 3600, 4000, 4400, 4800, 5200] as const;

/** Enough for the share of an entry that assumes others, with all requests at once. */
const MAX_CONNECTIONS = 1000;

const clock = new SystemClock();

/** An answer of 50 tokens takes a full engine of these costs about 0.9 s. */
const ENGINE = {
	models: [{name: 'm'}], slots: 32, step_ms: 10, per_seq_ms: 0, stride: 1, read_per_s: 30_000, chunk: 100, usual: {prompt: 100, answer: 50}, layers: 4,
};

const TOKENS = {prompt: 100, answer: 50};

type Item = Readonly<Record<string, unknown>>;

/** Lists a plain upstream and an engine. The route of earlier streams leads to the plain one, so they say nothing of the engine's answers. */
const putServices = (store: StoreStandIn, [plainAddress, engineAddress]: readonly string[]): void => {
	const configuration = configurationItem({version: 1, originAddress: '127.0.0.1:1'}) as {readonly routes: readonly Item[]; readonly services: readonly Item[]};
	const routes = configuration.routes.map((route): Item => ({...route, timeoutMs: TIMEOUT_MS}));
	const earlier = {
		...routes.find(({name}) => name === 'stream'), name: 'earlier', prefix: '/stream/earlier/', service: PLAIN_SERVICE,
	};
	const services = configuration.services.map(service => ({...service, maxConns: MAX_CONNECTIONS, ...(service.name === ENGINE_SERVICE && {engine: ENGINE})}));
	store.put(CONFIGURATION_KEY, {
		...configuration, version: 2, routes: [...routes, earlier], services,
	});
	const list = (id: string, upstream: Parameters<typeof upstreamItem>[0]): void => {
		store.put(`${UPSTREAM_PREFIX}${id}`, {...upstreamItem(upstream) as Item, slots: ENGINE.slots});
	};

	list('one', {
		address: plainAddress, service: PLAIN_SERVICE, version: undefined, startedAt: 1,
	});
	list('engine', {
		address: engineAddress, service: ENGINE_SERVICE, version: 1, startedAt: 1,
	});
};

describe('a stopping entry whose callers send streams late on open connections', () => {
	let workers: readonly PacedWorker[];
	let fleet: EntryFleet;
	let seen: Set<string>;
	let callers: LateCallers;

	beforeEach(async () => {
		seen = new Set();
		const lateCallers = new LateCallers({
			ip: ENTRY_IP, seen, earlierPath: '/stream/earlier/x?ms=', timeoutMs: TIMEOUT_MS,
		});
		callers = lateCallers;
		workers = Array.from({length: 2}, () => new PacedWorker(id => {
			seen.add(id);
		}));
		await Promise.all(workers.map(async worker => worker.listen()));
		fleet = new EntryFleet({ips: [ENTRY_IP], upstreamAddress: workers[0].address});
		await fleet.start();
		putServices(fleet.store, workers.map(({address}) => address));
		const end = clock.monotonic() + 8000;
		for (let attempt = 0; ; attempt++) {
			const outcomes = await Promise.all(['stream/earlier', 'stream'].map(async name => {
				const id = `first-${name}-${attempt}`;
				return lateCallers.connect().call({id, path: `/${name}/x?ms=150`, remainingMs: TIMEOUT_MS});
			}));
			if (outcomes.every(({status, isComplete}) => status === 200 && isComplete)) {
				return;
			}

			expect(clock.monotonic()).to.be.lessThan(end);
			await clock.sleep(100);
		}
	});

	afterEach(async () => {
		callers.close();
		await fleet.close();
		await Promise.all(workers.map(async worker => worker.close()));
	});

	it('cuts none of them when its worker preempts the newest ones', async () => {
		const outcomes = await callers.stopAndCall(fleet, [2000, 2600, 3500].map(pauseMs => ({path: `/stream/x?ms=1000&pause=${pauseMs}`, remainingMs: TIMEOUT_MS, tokens: TOKENS})), SENT_AFTER_MS);
		expect(callers.cut(outcomes)).to.deep.equal([]);
		for (const {id, status, headers} of outcomes.filter(({status}) => status !== 200)) {
			expect(status, id).to.equal(503);
			expect(Number(headers['retry-after']), id).to.be.within(0.01, 2);
			expect(seen.has(id), id).to.equal(false);
		}
	}).timeout(30_000);

	it('serves those whose callers stop waiting before it ends', async () => {
		const outcomes = await callers.stopAndCall(fleet, [{path: '/stream/x?ms=1000', remainingMs: 1800, tokens: TOKENS}], SENT_AFTER_MS);
		expect(outcomes.filter(({status, isComplete}) => status !== 200 || !isComplete)).to.deep.equal([]);
	}).timeout(30_000);
});
