import {expect} from 'chai';
import {delay} from '@yuccawood/common';
import {HttpKeyValueService} from '@yuccawood/interfaces';
import {KeyValueStandIn} from '@yuccawood/stand-ins';
import {
	TestFleet, isLost, jsonOf, send, textOf, waitUntil, type FakeUpstream,
} from './test-fleet.test.js';
import type {EntryServer} from './entry-server.js';

describe('Claims', () => {
	let fleet: TestFleet;
	let standIn: KeyValueStandIn;
	let keyValue: HttpKeyValueService;
	let upstream: FakeUpstream;

	beforeEach(async () => {
		fleet = new TestFleet();
		standIn = new KeyValueStandIn();
		keyValue = new HttpKeyValueService({address: await standIn.listen(), timeoutMs: 500});
		fleet.keyValue = keyValue;
		upstream = await fleet.upstream(async (_request, response, body) => {
			await delay(body === 'slow' ? 300 : 0);
			response.setHeader('x-order', '12');
			response.end(`done ${body}`);
		});
	});

	afterEach(async () => {
		await fleet.close();
		await keyValue.close();
		await standIn.close();
	});

	const placeOrder = async (entry: EntryServer, body = 'rope', key = 'order-1'): ReturnType<typeof send> => send(entry, '/orders', {method: 'POST', body, headers: {'idempotency-key': key}});

	const readSingleClaim = async (): Promise<{readonly key: string; readonly value: string}> => {
		const listed = await keyValue.list('claims/');
		return (listed.val as ReadonlyArray<{readonly key: string; readonly value: string}>)[0];
	};

	/** Stores the claim that an entry leaves when it stops after the write and before it forwards the call. */
	const claimWithoutForwarding = async (entry: EntryServer, vm: string): Promise<void> => {
		await placeOrder(entry, 'rope', 'template');
		const {key, value} = await readSingleClaim();
		await keyValue.remove(key);
		await keyValue.write(key, JSON.stringify({
			...JSON.parse(value) as Record<string, unknown>, nonce: 'dead-entry', requestId: 'entry-dead.1.1', vm, address: fleet.members.records.get(vm)!.address,
		}));
	};

	it('returns the finished answer through another entry instead of running the call again', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		const first = await placeOrder(await fleet.entry());
		const second = await placeOrder(await fleet.entry());
		expect([second.status, second.headers.get('x-order'), second.text]).to.deep.equal([200, '12', first.text]);
		expect(upstream.receivedIds).to.have.length(1);
	});

	it('runs a call once when it is sent to two entries at the same time', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		const [entry, other] = [await fleet.entry(), await fleet.entry()];
		const replies = await Promise.all([entry, other, entry, other].map(async target => placeOrder(target, 'slow')));
		expect(upstream.receivedIds).to.have.length(1);
		expect(replies.filter(({status}) => status === 200)).to.not.have.length(0);
		expect(replies.every(({status}) => status === 200 || status === 409)).to.equal(true);
	});

	it('answers 409 while the call runs, and returns its answer later, after the first entry was closed', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		const [entry, other] = [await fleet.entry(), await fleet.entry()];
		const lost = isLost(placeOrder(entry, 'slow'));
		await waitUntil(() => upstream.receivedIds.length === 1);
		await entry.close();
		expect(await lost).to.equal(true);
		expect(await jsonOf(placeOrder(other, 'slow'))).to.include({status: 409, outcome: 'unknown'});
		await waitUntil(() => fleet.agents.get('orders-1')!.requests.inProgress === 0);
		expect(await textOf(placeOrder(other, 'slow'))).to.equal('done slow');
		expect(upstream.receivedIds).to.have.length(1);
	});

	it('overwrites the claim of an entry that stopped before it forwarded the call', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		const entry = await fleet.entry();
		await claimWithoutForwarding(entry, 'orders-1');
		expect(await textOf(placeOrder(entry, 'rope', 'template'))).to.equal('done rope');
		expect(upstream.receivedIds).to.have.length(2);
	});

	it('reports outcome unknown when the agent named in the claim has stopped', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		const entry = await fleet.entry();
		await placeOrder(entry);
		await fleet.agents.get('orders-1')!.server.close();
		await fleet.agent('orders-2', upstream, {kind: 'service'});
		expect(await jsonOf(placeOrder(entry))).to.include({outcome: 'unknown'});
		expect(upstream.receivedIds).to.have.length(1);
	});

	it('recognizes its own claim when the response to the write was lost', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		standIn.setFaults({loseAnswers: 1});
		expect(await textOf(placeOrder(await fleet.entry()))).to.equal('done rope');
		expect(upstream.receivedIds).to.have.length(1);
	});

	it('updates its claim when the first agent rejects the call and another one runs it', async () => {
		const full = await fleet.agent('orders-1', upstream, {kind: 'service'});
		full.rejectNewRequests();
		const entry = await fleet.entry();
		expect(await jsonOf(placeOrder(entry))).to.include({outcome: 'not-run'});
		await fleet.agent('orders-2', upstream, {kind: 'service'});
		expect(await textOf(placeOrder(entry))).to.equal('done rope');
		const claim = await readSingleClaim();
		expect(JSON.parse(claim.value)).to.include({vm: 'orders-2'});
	});

	it('rejects the call as not run while the key-value service is down', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		const entry = await fleet.entry();
		standIn.setFaults({outage: 'refused'});
		const reply = await placeOrder(entry);
		expect(reply.json()).to.include({status: 503, outcome: 'not-run'});
		expect(reply.headers.get('retry-after')).to.equal('1');
		expect(upstream.receivedIds).to.have.length(0);
	});

	it('rejects a key that was used for another request', async () => {
		await fleet.agent('orders-1', upstream, {kind: 'service'});
		const entry = await fleet.entry();
		await placeOrder(entry);
		expect(await jsonOf(placeOrder(entry, 'another rope'))).to.include({status: 422, outcome: 'not-run'});
	});
});
