import http from 'node:http';
import {SystemClock} from '@yuccawood/common';
import {callerAddressOf, callerHeaders, PacedWorker} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {EntryFleet, STOP_GRACE_MS} from './testing/entry-fleet.js';

const IPS = ['127.0.48.1', '127.0.48.2'] as const;
const CALL_INTERVAL_MS = 50;
const WORK_MS = 5;

/** Time before the end of the grace in which a request need not be served any more. */
const LAST_ANSWERS_MS = 1500;

const clock = new SystemClock();

type Outcome = {readonly atMs: number; readonly status: number | undefined};

/** Calls on a new connection. Resolves with nothing if there is no answer. */
const call = async (ip: string, id: string): Promise<number | undefined> => new Promise(resolve => {
	const [host, port] = callerAddressOf(ip).split(':');
	const request = http.get({
		host, port, path: `/repeatable/x?ms=${WORK_MS}`, agent: false, headers: callerHeaders({requestId: id, remainingMs: 3000}),
	}, response => {
		response.resume();
		response.on('end', () => {
			resolve(response.statusCode);
		});
	});
	request.on('error', () => {
		resolve(undefined);
	});
});

const callAt = async (atMs: number, ip: string, id: string): Promise<Outcome> => ({atMs, status: await call(ip, id)});

describe('entries that are all stopped together under load', () => {
	let worker: PacedWorker;
	let fleet: EntryFleet;

	beforeEach(async () => {
		worker = new PacedWorker(() => undefined);
		await worker.listen();
		fleet = new EntryFleet({ips: IPS, upstreamAddress: worker.address});
		await fleet.start();
	});

	afterEach(async () => {
		await fleet.close();
		await worker.close();
	});

	it('serve new connections until their grace ends, because the load balancer uses them all when none is ready', async () => {
		const calls: Array<Promise<Outcome>> = [];
		const startedAt = clock.monotonic();
		const callAll = (atMs: number): void => {
			for (const ip of IPS) {
				calls.push(callAt(atMs, ip, `${ip}-${calls.length}`));
			}
		};

		// Enough answers to know how long the route takes.
		for (let count = 0; count < 20; count++) {
			callAll(Number.NEGATIVE_INFINITY);
			await clock.sleep(CALL_INTERVAL_MS);
		}

		const stoppedAt = clock.monotonic();
		for (const ip of IPS) {
			fleet.stop(ip);
		}

		for (;;) {
			const atMs = clock.monotonic() - stoppedAt;
			if (atMs > STOP_GRACE_MS - LAST_ANSWERS_MS) {
				break;
			}

			callAll(atMs);
			await clock.sleep(CALL_INTERVAL_MS);
		}

		const outcomes = await Promise.all(calls);
		expect(outcomes.filter(({status}) => status !== 200)).to.deep.equal([]);
		expect(clock.monotonic() - startedAt).to.be.greaterThan(STOP_GRACE_MS - LAST_ANSWERS_MS);
	}).timeout(30_000);

	it('end soon when nobody calls them', async () => {
		for (const ip of IPS) {
			fleet.stop(ip);
		}

		await clock.sleep(STOP_GRACE_MS * 0.75);
		expect(IPS.map(ip => fleet.hasEnded(ip))).to.deep.equal([true, true]);
	}).timeout(30_000);
});
