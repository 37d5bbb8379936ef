// Guards against an entry that is missing in the list for good because a registration took effect late.
import {delay, SILENT_LOG} from '@yuccawood/common';
import {ENTRY_PREFIX, StoreClient} from '@yuccawood/platform';
import {StoreStandIn} from '@yuccawood/platform/testing';
import {expect} from 'chai';
import {EntryRegistration} from './entry-registration.js';

const KEY = `${ENTRY_PREFIX}e`;
const ADDRESS = '10.0.0.1:1';
const RENEWAL_MS = 30;
const TIMEOUT_MS = 100;

describe('EntryRegistration', () => {
	const ending = new AbortController();
	let store: StoreStandIn;
	let client: StoreClient;
	let running: Promise<void>;

	before(async () => {
		store = new StoreStandIn();
		await store.listen();
		client = new StoreClient({address: store.address, timeoutMs: TIMEOUT_MS, watchSlackMs: TIMEOUT_MS});
		running = new EntryRegistration({
			store: client, id: 'e', address: ADDRESS, isListed: () => store.read(KEY) !== undefined, log: SILENT_LOG, renewalMs: RENEWAL_MS,
		}).run(ending.signal);
	});

	after(async () => {
		await client.close();
		await store.close();
	});

	const untilListed = async (): Promise<void> => {
		for (let waitedMs = 0; store.read(KEY) === undefined && waitedMs < 1000; waitedMs += 10) {
			await delay(10);
		}

		expect(store.read(KEY)).to.equal(ADDRESS);
	};

	it('lists the entry', untilListed);

	it('lists it again when its lease has expired', async () => {
		store.expire(1);
		await untilListed();
	});

	it('lists it again when the key was tied to another lease, which has ended', async () => {
		store.remove(KEY);
		await untilListed();
	});

	it('lists it under one lease, although the answers to its writes are lost', async () => {
		store.expire(2);
		store.fault = 'lost';
		await delay(RENEWAL_MS * 5);
		store.fault = 'none';
		await delay(RENEWAL_MS * 5);
		store.expire(3);
		await untilListed();
	});

	it('takes it off the list at its end', async () => {
		ending.abort();
		await running;
		expect(store.read(KEY)).to.equal(undefined);
	});
});
