import {connect} from 'node:net';
import {expect} from 'chai';
import {delay} from '@yuccawood/common';
import {
	answerChat, chat, chatBody, TestFleet, isLost, jsonOf, MODEL_HASH, send, statusOf, textOf, waitUntil, type Reply, type FakeUpstream,
} from './test-fleet.test.js';
import {MIN_QUEUE_LIMIT} from './constants.js';
import type {EntryServer} from './entry-server.js';

describe('load, limits and drain', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet();
	});

	afterEach(async () => {
		await fleet.close();
	});

	const slowEngine = async (milliseconds: number): Promise<FakeUpstream> => fleet.upstream(async (...call) => {
		await delay(milliseconds);
		void answerChat(...call);
	});

	const gatedStream = async (gate: () => boolean): Promise<FakeUpstream> => fleet.upstream(async (_request, response) => {
		response.writeHead(200, {'content-type': 'text/event-stream', 'x-model-version': MODEL_HASH});
		response.write('data: one\n\n');
		await waitUntil(gate);
		response.end('data: [DONE]\n\n');
	});

	describe('overload', () => {
		/** An engine that answers only after the condition holds. */
		const gatedEngine = async (isOpen: () => boolean): Promise<FakeUpstream> => fleet.upstream(async (...call) => {
			await waitUntil(isOpen);
			void answerChat(...call);
		});

		it('rejects calls beyond the capacity and the queue as not run, with retry-after', async () => {
			const fitting = 4 + MIN_QUEUE_LIMIT;
			const rejected: Reply[] = [];
			const upstream = await gatedEngine(() => rejected.length === 2 * fitting);
			await fleet.agent('engine-1', upstream, {capacity: 4, queueLimit: 0});
			const entry = await fleet.entry();
			await Promise.all(Array.from({length: 3 * fitting}, async (_, i) => {
				const reply = await chat(entry, `call ${i}`);
				if (reply.status !== 200) {
					rejected.push(reply);
				}
			}));
			expect(rejected).to.have.length(2 * fitting);
			expect(rejected.every(({headers, json}) => headers.get('retry-after') === '1' && json().outcome === 'not-run')).to.equal(true);
			expect(upstream.receivedIds).to.have.length(fitting);
		});

		it('retries calls that an agent rejected because another entry had filled it', async () => {
			const upstream = await gatedEngine(() => (fleet.metrics.counters.get('requests.rejected,reason=overloaded') ?? 0) > 0);
			await fleet.agent('engine-1', upstream, {capacity: 2, queueLimit: 0});
			const entries = [await fleet.entry(), await fleet.entry()];
			const statuses = await Promise.all(Array.from({length: 12}, async (_, i) => statusOf(chat(entries[i % 2], `call ${i}`))));
			expect(statuses.filter(status => status === 200)).to.have.length(12);
		});

		it('chooses another agent when the first is full', async () => {
			const upstream = await slowEngine(100);
			await fleet.agent('engine-1', upstream, {capacity: 1, queueLimit: 0});
			await fleet.agent('engine-2', upstream, {capacity: 1, queueLimit: 0});
			const entry = await fleet.entry();
			const statuses = await Promise.all(['a', 'a'].map(async content => statusOf(chat(entry, content))));
			expect(statuses).to.deep.equal([200, 200]);
		});

		it('sends calls with the same prompt prefix to the same agent', async () => {
			const upstreams: FakeUpstream[] = [];
			for (const id of ['engine-1', 'engine-2', 'engine-3', 'engine-4']) {
				const upstream = await fleet.upstream(answerChat);
				upstreams.push(upstream);
				await fleet.agent(id, upstream);
			}

			const entry = await fleet.entry();
			for (let i = 0; i < 12; i++) {
				await chat(entry, 'the same long prompt');
			}

			expect(upstreams.map(({receivedIds}) => receivedIds.length).sort((a, b) => b - a)).to.deep.equal([12, 0, 0, 0]);
		});

		it('prefers agents in the failure domain and region of the entry', async () => {
			const [near, far] = [await fleet.upstream(answerChat), await fleet.upstream(answerChat)];
			await fleet.agent('engine-far', far);
			fleet.members.put({...fleet.members.records.get('engine-far')!, region: 'northern', failureDomain: 'northern-a'});
			await fleet.agent('engine-near', near);
			const entry = await fleet.entry();
			await Promise.all(['a', 'b', 'c'].map(async content => chat(entry, content)));
			expect([near.receivedIds.length, far.receivedIds.length]).to.deep.equal([3, 0]);
		});
	});

	describe('drain', () => {
		it('finishes the stream in progress at a draining agent, and sends new calls to another agent', async () => {
			let isOpen = false;
			const first = await gatedStream(() => isOpen);
			const leaving = await fleet.agent('engine-1', first);
			const entry = await fleet.entry();
			const running = textOf(chat(entry, 'hello', {stream: true}));
			await waitUntil(() => first.receivedIds.length === 1);
			const drained = leaving.drain();
			await fleet.agent('engine-2', await fleet.upstream(answerChat));
			const statuses = await Promise.all(['a', 'b', 'c', 'd'].map(async content => statusOf(chat(entry, content))));
			isOpen = true;
			await drained;
			expect(statuses).to.deep.equal([200, 200, 200, 200]);
			expect(await running).to.contain('[DONE]');
			expect(first.receivedIds).to.have.length(1);
		});

		it('reports a draining entry as unhealthy, finishes its stream in progress, then closes the listener', async () => {
			let isOpen = false;
			const upstream = await gatedStream(() => isOpen);
			await fleet.agent('engine-1', upstream);
			const entry = await fleet.entry();
			expect(await statusOf(send(entry, '/healthz'))).to.equal(200);
			const running = textOf(chat(entry, 'hello', {stream: true}));
			await waitUntil(() => upstream.receivedIds.length === 1);
			const drained = entry.drain();
			expect(await statusOf(send(entry, '/healthz'))).to.equal(503);
			isOpen = true;
			expect(await running).to.contain('[DONE]');
			await drained;
			expect(await isLost(send(entry, '/healthz'))).to.equal(true);
		});
	});

	describe('drain with a time limit', () => {
		const limitMs = 2000;

		// Guards against a late call that is passed on and then cut with all others when the limit is reached.
		it('refuses a call that may last longer at once as not run, and answers one that can not', async () => {
			let isOpen = false;
			const upstream = await gatedStream(() => isOpen);
			await fleet.agent('engine-1', upstream);
			const entry = await fleet.entry({drainGraceMs: 500});
			const running = textOf(chat(entry, 'hello', {stream: true}));
			await waitUntil(() => upstream.receivedIds.length === 1);
			const drained = entry.drain({limitMs});
			const call = async (deadlineMs: number): Promise<Reply> => send(entry, '/v1/chat/completions', {
				method: 'POST', body: chatBody(`for ${deadlineMs} ms`, {stream: true}), headers: {'content-type': 'application/json', 'yuccawood-deadline-ms': String(deadlineMs)},
			});
			const refused = await call(limitMs * 2);
			const served = call(limitMs / 2);
			await waitUntil(() => upstream.receivedIds.length === 2);
			isOpen = true;
			expect([refused.status, refused.json().outcome, refused.headers.get('retry-after')]).to.deep.equal([503, 'not-run', '1']);
			expect(await textOf(served)).to.contain('[DONE]');
			expect(await running).to.contain('[DONE]');
			await drained;
		});
	});

	describe('caller disconnect', () => {
		it('cancels a repeatable call at the upstream', async () => {
			let isCancelled = false;
			const upstream = await fleet.upstream((_request, response) => {
				response.on('close', () => {
					isCancelled = true;
				});
			});
			await fleet.agent('engine-1', upstream);
			const abort = new AbortController();
			const lost = isLost(send(await fleet.entry(), '/v1/chat/completions', {method: 'POST', body: chatBody('hello'), signal: abort.signal}));
			await waitUntil(() => upstream.receivedIds.length === 1);
			abort.abort();
			expect(await lost).to.equal(true);
			await waitUntil(() => isCancelled);
		});

		it('lets a non-repeatable call run to its end at the upstream', async () => {
			const destroyedAtEnd: boolean[] = [];
			const upstream = await fleet.upstream(async (_request, response) => {
				await delay(150);
				destroyedAtEnd.push(response.destroyed);
				response.end('done');
			});
			const agent = await fleet.agent('orders-1', upstream, {kind: 'service'});
			const abort = new AbortController();
			const lost = isLost(send(await fleet.entry(), '/orders', {method: 'POST', body: 'rope', signal: abort.signal}));
			await waitUntil(() => upstream.receivedIds.length === 1);
			abort.abort();
			await lost;
			await agent.drain();
			expect(destroyedAtEnd).to.deep.equal([false]);
		});
	});

	describe('deadlines', () => {
		it('ends a call at its deadline and cancels it at the upstream', async () => {
			let isCancelled = false;
			const upstream = await fleet.upstream((_request, response) => {
				response.on('close', () => {
					isCancelled = true;
				});
			});
			await fleet.agent('engine-1', upstream);
			const reply = send(await fleet.entry(), '/v1/chat/completions', {method: 'POST', body: chatBody('hello'), headers: {'yuccawood-deadline-ms': '200'}});
			expect(await jsonOf(reply)).to.include({status: 504, outcome: 'unknown'});
			await waitUntil(() => isCancelled);
		});

		// Guards against a 502 or 503 when the agent notices the passed deadline before the entry does.
		it('answers 504 whichever process notices first that the deadline has passed', async () => {
			await fleet.agent('engine-1', await slowEngine(1000), {capacity: 20});
			// Both look for passed deadlines every 100 ms.
			await delay(50);
			const entry = await fleet.entry();
			const replies = await Promise.all(Array.from({length: 20}, async (_, index) => send(entry, '/v1/chat/completions', {
				method: 'POST', body: chatBody(`call ${index}`), headers: {'yuccawood-deadline-ms': String(200 + (index * 5))},
			})));
			expect(replies.map(({status}) => status)).to.deep.equal(Array.from({length: 20}, () => 504));
			expect(replies.every(reply => reply.json().outcome === 'unknown')).to.equal(true);
		});

		it('reports outcome unknown for a non-repeatable call past its deadline, and lets it run to its end', async () => {
			const upstream = await slowEngine(600);
			await fleet.agent('orders-1', upstream, {kind: 'service'});
			const reply = await send(await fleet.entry(), '/orders', {method: 'POST', body: 'rope', headers: {'yuccawood-deadline-ms': '200'}});
			expect(reply.json()).to.include({status: 504, outcome: 'unknown'});
			await fleet.agents.get('orders-1')!.requests.drain();
		});
	});

	describe('invalid requests', () => {
		let entry: EntryServer;

		beforeEach(async () => {
			await fleet.agent('engine-1', await fleet.upstream(answerChat));
			entry = await fleet.entry();
		});

		afterEach(async () => {
			expect(await statusOf(chat(entry, 'others are not disturbed'))).to.equal(200);
		});

		const sendRaw = async (text: string): Promise<string> => new Promise(resolve => {
			const [host, port] = entry.address.split(':');
			const socket = connect(Number(port), host, () => socket.write(text));
			let received = '';
			socket.on('data', data => {
				received += String(data);
			});
			socket.on('error', () => undefined);
			socket.on('close', () => {
				resolve(received);
			});
		});

		const post = async (body: string): Promise<Readonly<Record<string, unknown>>> => jsonOf(send(entry, '/v1/chat/completions', {method: 'POST', body}));

		it('answers malformed HTTP with 400 and oversized headers with 431', async () => {
			expect(await sendRaw('GARBAGE\r\n\r\n')).to.match(/^HTTP\/1.1 400 [^]*"outcome":"not-run"/);
			expect(await sendRaw(`GET / HTTP/1.1\r\nhost: x\r\nx-long: ${'x'.repeat(20_000)}\r\n\r\n`)).to.match(/^HTTP\/1.1 431 [^]*"remedy"/);
			expect(fleet.metrics.counters.get('requests.finished,result=headers-too-large')).to.equal(1);
		});

		it('answers a body above the limit with 413, with or without a declared length', async () => {
			expect(await post(chatBody('x'.repeat(20_000)))).to.include({status: 413, outcome: 'not-run'});
			const chunk = `4000\r\n${'x'.repeat(0x40_00)}\r\n0\r\n\r\n`;
			expect(await sendRaw(`POST /orders HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${chunk}`)).to.match(/^HTTP\/1.1 413 /);
		});

		it('answers malformed JSON, an unknown model and a missing route with typed errors', async () => {
			expect(await post('{"model":')).to.include({status: 400, type: 'urn:yuccawood:problem:malformed'});
			expect(await post('{"model":"none","messages":[]}')).to.include({status: 404, type: 'urn:yuccawood:problem:unknown-model'});
			expect(await jsonOf(send(entry, '/nowhere'))).to.include({status: 404, type: 'urn:yuccawood:problem:no-route'});
			expect(fleet.metrics.counters.get('requests.finished,result=unknown-model')).to.equal(1);
		});

		it('does not forward internal headers that a caller sets', async () => {
			const reply = await send(entry, '/v1/chat/completions', {method: 'POST', body: chatBody('hello'), headers: {'yuccawood-vm': 'other', 'yuccawood-suspect': 'yes', connection: 'x-a'}});
			expect(reply.status).to.equal(200);
		});
	});
});
