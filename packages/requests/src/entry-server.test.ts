import type {ServerResponse} from 'node:http';
import {expect} from 'chai';
import {
	answerChat, chat, TestFleet, MODEL_HASH, send,
} from './test-fleet.test.js';

const end = (response: ServerResponse, text: string): void => {
	response.end(text);
};

describe('EntryServer', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet();
	});

	afterEach(async () => {
		await fleet.close();
	});

	describe('forwarding', () => {
		it('returns the whole answer of the engine with its verified version', async () => {
			const upstream = await fleet.upstream(answerChat);
			await fleet.agent('engine-1', upstream);
			const reply = await chat(await fleet.entry(), 'hello');
			expect(reply.status).to.equal(200);
			expect(reply.text).to.contain('hello');
			expect(reply.headers.get('x-model-version')).to.equal(MODEL_HASH);
			expect(reply.headers.get('yuccawood-vm')).to.equal(null);
			expect(upstream.receivedIds).to.deep.equal([reply.headers.get('x-request-id')]);
		});

		it('passes all events of a stream on', async () => {
			const upstream = await fleet.upstream((_request, response) => {
				response.writeHead(200, {'content-type': 'text/event-stream', 'x-model-version': MODEL_HASH});
				response.write('data: one\n\n');
				setImmediate(end, response, 'data: two\n\ndata: [DONE]\n\n');
			});
			await fleet.agent('engine-1', upstream);
			const reply = await chat(await fleet.entry(), 'hello', {stream: true});
			expect(reply.text).to.equal('data: one\n\ndata: two\n\ndata: [DONE]\n\n');
		});

		it('passes method, path, body, status and headers through for a plain service', async () => {
			const upstream = await fleet.upstream((request, response, body) => {
				response.writeHead(201, {'x-kit': 'yes'});
				response.end(`${request.method} ${request.url} ${body}`);
			});
			await fleet.agent('orders-1', upstream, {kind: 'service'});
			const reply = await send(await fleet.entry(), '/orders/7?full=1', {method: 'POST', body: 'rope'});
			expect([reply.status, reply.headers.get('x-kit'), reply.text]).to.deep.equal([201, 'yes', 'POST /orders/7?full=1 rope']);
		});
	});
});
