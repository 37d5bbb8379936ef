import {expect} from 'chai';
import {Ok, PeerClient, delay} from '@yuccawood/common';
import {
	answerChat, chat, TestFleet, jsonOf, send, statusOf, textOf, waitUntil, type FakeUpstream,
} from './test-fleet.test.js';
import {TcpProxy} from './tcp-proxy.test.js';
import type {SettleReply} from './types.js';

const MAX_SILENT_PATH_MS = 5000;

describe('Settlement', () => {
	let fleet: TestFleet;
	let proxy: TcpProxy;

	beforeEach(() => {
		fleet = new TestFleet();
		proxy = new TcpProxy();
	});

	afterEach(async () => {
		proxy.close();
		await fleet.close();
	});

	const addressOfProxy = async (target: string): Promise<string> => proxy.listen(target);

	const startOrderService = async (answerAfterMs = 0): Promise<FakeUpstream> => fleet.upstream(async (_request, response, body) => {
		await delay(answerAfterMs);
		response.end(`done ${body}`);
	});

	const placeOrder = async (entry: Parameters<typeof send>[0], body = 'rope'): ReturnType<typeof send> => send(entry, '/orders', {method: 'POST', body});

	describe('of a non-repeatable call', () => {
		it('fetches the answer instead of retrying when the connection is reset while the call runs', async () => {
			const upstream = await startOrderService(200);
			await fleet.agent('orders-1', upstream, {kind: 'service', addressOf: addressOfProxy});
			const reply = placeOrder(await fleet.entry());
			await waitUntil(() => upstream.receivedIds.length === 1);
			proxy.reset();
			expect(await textOf(reply)).to.equal('done rope');
			expect(upstream.receivedIds).to.have.length(1);
		});

		it('reports outcome unknown without a retry when the agent stops while the call runs', async () => {
			const upstream = await startOrderService(300);
			await fleet.agent('orders-1', upstream, {kind: 'service'});
			const reply = placeOrder(await fleet.entry());
			await waitUntil(() => upstream.receivedIds.length === 1);
			await fleet.agent('orders-2', upstream, {kind: 'service'});
			await fleet.agents.get('orders-1')!.server.close();
			expect(await jsonOf(reply)).to.include({outcome: 'unknown'});
			expect(upstream.receivedIds).to.have.length(1);
		});

		it('forwards a call to another agent after a restarted agent rejected the old incarnation', async () => {
			const upstream = await startOrderService();
			await fleet.agent('orders-1', upstream, {kind: 'service', incarnation: 8});
			fleet.members.put({...fleet.members.find('orders-1')!, incarnation: 7});
			const entry = await fleet.entry();
			expect(await jsonOf(placeOrder(entry))).to.include({outcome: 'not-run'});
			await fleet.agent('orders-2', upstream, {kind: 'service'});
			expect(await textOf(placeOrder(entry))).to.equal('done rope');
			expect(upstream.receivedIds).to.have.length(1);
		});

		it('never runs a call that arrives after a query recorded its tombstone', async () => {
			const upstream = await startOrderService();
			await fleet.agent('orders-1', upstream, {kind: 'service'});
			const {address} = fleet.members.find('orders-1')!;
			const client = new PeerClient();
			const settled = await client.call<SettleReply>(address, 'requests.settle', {requestId: 'entry-9.1.1', incarnation: 7});
			await client.close();
			const response = await fetch(`http://${address}/requests/orders`, {
				method: 'POST', body: 'late', headers: {
					'yuccawood-request-id': 'entry-9.1.1', 'yuccawood-vm': 'orders-1', 'yuccawood-incarnation': '7', 'yuccawood-deadline-ms': '5000',
				},
			});
			expect(settled.state).to.equal('not-run');
			expect(response.headers.get('yuccawood-outcome')).to.equal('not-run');
			expect(upstream.receivedIds).to.have.length(0);
		});
	});

	describe('of a call on a silent connection', () => {
		const expectOneRunDespiteDrops = async (direction: 'to-server' | 'to-client'): Promise<void> => {
			const upstream = await startOrderService();
			await fleet.agent('orders-1', upstream, {kind: 'service', addressOf: addressOfProxy});
			const entry = await fleet.entry();
			await placeOrder(entry, 'first');
			proxy.dropData(direction);
			const startedAt = performance.now();
			const reply = await placeOrder(entry, 'second');
			expect(reply.text).to.equal('done second');
			expect(performance.now() - startedAt).to.be.below(MAX_SILENT_PATH_MS);
			expect(upstream.receivedIds).to.have.length(2);
		};

		it('runs each call once and answers in time when established connections drop requests', async () => {
			await expectOneRunDespiteDrops('to-server');
		});

		it('runs each call once and answers in time when established connections drop responses', async () => {
			await expectOneRunDespiteDrops('to-client');
		});

		it('reports outcome unknown in time, or retries a repeatable call, when the agent answers on no connection', async () => {
			const upstream = await startOrderService(100);
			await fleet.agent('orders-1', upstream, {kind: 'service', addressOf: addressOfProxy});
			const entry = await fleet.entry();
			await placeOrder(entry);
			proxy.dropData('both');
			proxy.droppedOnNew = 'both';
			const startedAt = performance.now();
			const lost = placeOrder(entry);
			const repeatable = send(entry, '/orders');
			await delay(50);
			await fleet.agent('orders-2', upstream, {kind: 'service'});
			expect(await jsonOf(lost)).to.include({outcome: 'unknown'});
			expect(await statusOf(repeatable)).to.equal(200);
			expect(performance.now() - startedAt).to.be.below(MAX_SILENT_PATH_MS);
		});

		it('hedges a repeatable call when the connection to a plain service drops data', async () => {
			const upstream = await startOrderService();
			await fleet.agent('orders-1', {address: await addressOfProxy(upstream.address)}, {kind: 'service'});
			const entry = await fleet.entry();
			await send(entry, '/orders');
			proxy.dropData('to-client');
			const startedAt = performance.now();
			expect(await textOf(send(entry, '/orders'))).to.equal('done ');
			expect(performance.now() - startedAt).to.be.below(MAX_SILENT_PATH_MS);
		});

		it('hedges a completion that the engine has not received, and waits when the engine is slow', async () => {
			const state = {
				incarnation: 'a', versions: [], running: 0, waiting: 0, capacity: 8,
			};
			const upstream = await fleet.upstream(async (...call) => {
				await delay(call[2].includes('slow') ? 2500 : 0);
				void answerChat(...call);
			});
			const engine = {state: async () => Ok({...state})};
			await fleet.agent('engine-1', {address: await addressOfProxy(upstream.address)}, {engine});
			const entry = await fleet.entry();
			await chat(entry, 'first');
			proxy.dropData('to-server');
			expect(await statusOf(chat(entry, 'second'))).to.equal(200);
			state.running = 1;
			expect(await statusOf(chat(entry, 'slow'))).to.equal(200);
			expect(upstream.receivedIds).to.have.length(3);
		});
	});
});
