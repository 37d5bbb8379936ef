// Guards against answers that are no streams, but too large to be kept, which a stopping entry admits by an estimate and cuts.
import {SystemClock} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, configurationItem, PacedWorker, PLAIN_SERVICE, UPSTREAM_PREFIX, upstreamItem,
} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {EntryFleet} from './testing/entry-fleet.js';
import type {Outcome} from './testing/kept-caller.js';
import {LateCallers} from './testing/late-callers.js';

const ENTRY_IP = '127.0.51.1';
const TIMEOUT_MS = 6000;

/** Times after SIGTERM. The load balancer may use the entry until 3 s. */
const SENT_AFTER_MS = [3200, 3600, 4000, 4400, 4800] as const;

/** An entry keeps no answer of this size until its end. */
const LARGE_BYTES = 300 * 1024;

/** Enough answers to tell how long others take. */
const USUAL_ANSWERS = 12;
const USUAL_MS = 200;

/** Enough for the share of an entry that assumes others, with all requests at once. */
const MAX_CONNECTIONS = 1000;

const clock = new SystemClock();

type Item = Readonly<Record<string, unknown>>;

describe('a stopping entry whose callers ask for large answers late on open connections', () => {
	let worker: PacedWorker;
	let fleet: EntryFleet;
	let seen: Set<string>;
	let callers: LateCallers;

	beforeEach(async () => {
		seen = new Set();
		callers = new LateCallers({
			ip: ENTRY_IP, seen, earlierPath: '/stream/x?ms=', timeoutMs: TIMEOUT_MS,
		});
		worker = new PacedWorker(id => {
			seen.add(id);
		});
		await worker.listen();
		fleet = new EntryFleet({ips: [ENTRY_IP], upstreamAddress: worker.address});
		await fleet.start();
		const configuration = configurationItem({version: 1, originAddress: '127.0.0.1:1'}) as {readonly routes: readonly Item[]; readonly services: readonly Item[]};
		const routes = configuration.routes.map((route): Item => ({...route, timeoutMs: TIMEOUT_MS, service: PLAIN_SERVICE}));
		const services = configuration.services.map(service => ({...service, maxConns: MAX_CONNECTIONS}));
		fleet.store.put(CONFIGURATION_KEY, {
			...configuration, version: 2, routes, services,
		});
		fleet.store.put(`${UPSTREAM_PREFIX}one`, {
			...upstreamItem({
				address: worker.address, service: PLAIN_SERVICE, version: undefined, startedAt: 1,
			}) as Item, slots: 64,
		});
		const end = clock.monotonic() + 8000;
		for (let attempt = 0; ; attempt++) {
			const {status} = await callers.connect().call({id: `first-${attempt}`, path: '/stream/x?ms=10', remainingMs: TIMEOUT_MS});
			if (status === 200) {
				return;
			}

			expect(clock.monotonic()).to.be.lessThan(end);
			await clock.sleep(100);
		}
	});

	afterEach(async () => {
		callers.close();
		await fleet.close();
		await worker.close();
	});

	const answerUsually = async (path: string): Promise<void> => {
		const caller = callers.connect();
		const end = clock.monotonic() + 15_000;
		for (let served = 0, attempt = 0; served < USUAL_ANSWERS; attempt++) {
			expect(clock.monotonic()).to.be.lessThan(end);
			const {status, isComplete} = await caller.call({id: `usual-${attempt}-${path}`, path, remainingMs: TIMEOUT_MS});
			served += status === 200 && isComplete ? 1 : 0;
		}
	};

	const unserved = (outcomes: readonly Outcome[]): readonly Outcome[] => outcomes.filter(({status, isComplete}) => status !== 200 || !isComplete);

	it('cuts none of them when its worker takes longer than usual', async () => {
		const paths = ['once', 'repeatable'].map(name => `/${name}/x?ms=${USUAL_MS}&bytes=${LARGE_BYTES}`);
		await Promise.all(paths.map(async path => answerUsually(path)));
		const outcomes = await callers.stopAndCall(fleet, paths.map(path => ({path: `${path}&pause=5000`, remainingMs: TIMEOUT_MS})), SENT_AFTER_MS);
		expect(callers.cut(outcomes)).to.deep.equal([]);
		for (const {id, status, headers} of outcomes.filter(({status}) => status !== 200)) {
			expect(status, id).to.equal(503);
			expect(Number(headers['retry-after']), id).to.be.within(0.01, 2);
			expect(seen.has(id), id).to.equal(false);
		}
	}).timeout(40_000);

	it('serves those whose callers stop waiting before it ends, and small ones of other routes', async () => {
		await Promise.all([answerUsually(`/once/x?ms=${USUAL_MS}&bytes=${LARGE_BYTES}`), answerUsually(`/repeatable/x?ms=${USUAL_MS}`)]);
		const outcomes = await callers.stopAndCall(fleet, [
			{path: `/once/x?ms=${USUAL_MS}&bytes=${LARGE_BYTES}`, remainingMs: 2000}, {path: `/repeatable/x?ms=${USUAL_MS}`, remainingMs: TIMEOUT_MS},
		], SENT_AFTER_MS);
		expect(unserved(outcomes)).to.deep.equal([]);
	}).timeout(40_000);
});
