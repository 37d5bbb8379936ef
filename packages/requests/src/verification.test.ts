import type {ServerResponse} from 'node:http';
import {expect} from 'chai';
import {
	answerChat, chat, TestFleet, isLost, jsonOf, MODEL_HASH, send, statusOf, textOf, waitUntil,
} from './test-fleet.test.js';
import type {EntryServer} from './entry-server.js';

describe('verification of responses', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet();
	});

	afterEach(async () => {
		await fleet.close();
	});

	it('discards answers swapped between two requests and retries both at another agent', async () => {
		const pending: Array<{readonly id: string; readonly response: ServerResponse}> = [];
		const swappingUpstream = await fleet.upstream((request, response) => {
			pending.push({id: String(request.headers['yuccawood-request-id']), response});
		});
		const upstream = await fleet.upstream(answerChat);
		await fleet.agent('engine-1', upstream, {addressOf: async () => swappingUpstream.address});
		const entry = await fleet.entry();
		const replies = Promise.all([textOf(chat(entry, 'first')), textOf(chat(entry, 'second'))]);
		await waitUntil(() => pending.length === 2);
		await fleet.agent('engine-2', upstream);
		for (const [i, {response}] of pending.entries()) {
			response.writeHead(200, {
				'yuccawood-request-id': pending[1 - i].id, 'yuccawood-vm': 'engine-1', 'yuccawood-incarnation': '7', 'yuccawood-version': MODEL_HASH,
			});
			response.end('answer to the other request');
		}

		const [first, second] = await replies;
		expect(first).to.contain('first');
		expect(second).to.contain('second');
	});

	it('passes on nothing of an answer from a version that the agent did not verify', async () => {
		const upstream = await fleet.upstream((_request, response) => {
			response.writeHead(200, {'x-model-version': 'b'.repeat(64)});
			response.end('mixed weights');
		});
		await fleet.agent('engine-1', upstream);
		const reply = await chat(await fleet.entry(), 'hello');
		expect(reply.text).to.not.contain('mixed weights');
		expect(reply.json()).to.include({status: 502, outcome: 'unknown'});
	});

	it('passes on answers of both verified versions during a switch, without retries', async () => {
		const next = 'c'.repeat(64);
		const upstream = await fleet.upstream((_request, response) => {
			response.writeHead(200, {'content-type': 'application/json', 'x-model-version': upstream.receivedIds.length === 1 ? next : MODEL_HASH});
			response.end('{}');
		});
		await fleet.agent('engine-1', upstream, {isVerified: (_name, manifest) => [MODEL_HASH, next].includes(manifest)});
		const entry = await fleet.entry();
		const first = await chat(entry, 'answered by the new version');
		const second = await chat(entry, 'finished by the old version');
		expect([first.status, second.status]).to.deep.equal([200, 200]);
		expect(upstream.receivedIds).to.have.length(2);
	});

	it('rejects a request for a version that is not served', async () => {
		const upstream = await fleet.upstream(answerChat);
		await fleet.agent('engine-1', upstream);
		const entry = await fleet.entry();
		const pinned = async (version: string): Promise<number> => statusOf(send(entry, '/v1/chat/completions', {
			method: 'POST', body: '{"model":"kit","messages":[]}', headers: {'yuccawood-version': version},
		}));
		expect(await pinned('b'.repeat(64))).to.equal(503);
		expect(await pinned(MODEL_HASH)).to.equal(200);
	});

	describe('of interrupted answers', () => {
		const startStream = async (finish: (response: ServerResponse) => void, contentType: string): Promise<EntryServer> => {
			const upstream = await fleet.upstream((_request, response) => {
				response.writeHead(200, {'content-type': contentType, 'x-model-version': MODEL_HASH});
				response.write('data: one\n\n', () => {
					finish(response);
				});
			});
			await fleet.agent('engine-1', upstream);
			return fleet.entry();
		};

		it('ends a stream with an error event and no end marker when the upstream breaks the connection', async () => {
			const entry = await startStream(response => response.destroy(), 'text/event-stream');
			const text = await textOf(chat(entry, 'hello', {stream: true}));
			expect(text).to.match(/^data: one\n\nevent: error\ndata: /);
			expect(text).to.contain('"outcome":"unknown"');
			expect(text).to.not.contain('[DONE]');
		});

		it('ends a stream with an error event when the upstream ends it without the end marker', async () => {
			const entry = await startStream(response => response.end(), 'text/event-stream');
			expect(await textOf(chat(entry, 'hello', {stream: true}))).to.contain('event: error');
		});

		it('closes the connection when an answer that is not a stream is interrupted', async () => {
			const entry = await startStream(response => response.destroy(), 'application/json');
			expect(await isLost(chat(entry, 'hello'))).to.equal(true);
		});
	});

	it('retries a completion on another VM when the engine answers with an error', async () => {
		const failing = await fleet.upstream((_request, response) => {
			response.writeHead(500);
			response.end();
		});
		await fleet.agent('engine-1', failing);
		await fleet.agent('engine-2', await fleet.upstream(answerChat));
		const entry = await fleet.entry();
		expect(await Promise.all(['a', 'b', 'c', 'd'].map(async text => statusOf(chat(entry, text))))).to.deep.equal([200, 200, 200, 200]);
	});

	it('reports outcome not-run when no VM accepts the request', async () => {
		expect(await jsonOf(chat(await fleet.entry(), 'hello'))).to.include({status: 503, outcome: 'not-run'});
	});
});
