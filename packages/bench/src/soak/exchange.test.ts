import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {expect} from 'chai';
import {Agent} from 'undici';
import type {Attempt} from './evidence.js';
import {exchange} from './exchange.js';

const event = (content: string): string => `data: ${JSON.stringify({choices: [{delta: {content}}]})}\n\n`;

describe('exchange', () => {
	let server: http.Server;
	let answer: (response: http.ServerResponse) => void;
	let dispatcher: Agent;

	const send = async (): Promise<Attempt> => exchange({
		entry: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'POST', path: '/', body: '{}', headers: {}, dispatcher, timeoutMs: 5000,
	});

	const stream = (...parts: readonly string[]) => (response: http.ServerResponse): void => {
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.end(parts.join(''));
	};

	beforeEach(async () => {
		dispatcher = new Agent();
		server = http.createServer((request, response) => {
			request.resume();
			answer(response);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(async () => {
		await dispatcher.destroy();
		server.close();
	});

	it('takes a stream as answered only with its end mark, so that a cut one is not taken as whole', async () => {
		answer = stream(event('a'), event('b'), 'data: [DONE]\n\n');
		expect(await send()).to.include({result: 'answered', text: 'ab'});
		answer = stream(event('a'), event('b'));
		expect(await send()).to.include({result: 'broken', text: 'ab', outcome: undefined});
	});

	it('reads the outcome from an error event and from a problem document', async () => {
		answer = stream(event('a'), 'event: error\ndata: {"error":{"type":"urn:x:deadline","outcome":"unknown"}}\n\n');
		expect(await send()).to.include({
			result: 'broken', outcome: 'unknown', problem: 'deadline', text: 'a',
		});
		answer = response => {
			response.writeHead(503, {'content-type': 'application/problem+json'});
			response.end('{"type":"urn:x:leaving","outcome":"not-run"}');
		};

		expect(await send()).to.include({
			result: 'refused', outcome: 'not-run', problem: 'leaving', status: 503,
		});
	});

	it('tells a broken connection from one that was never made', async () => {
		answer = response => {
			response.destroy();
		};

		expect(await send()).to.include({result: 'broken', outcome: undefined});
		const {port} = server.address() as AddressInfo;
		server.close();
		server.closeAllConnections();
		await once(server, 'close');
		expect(await exchange({
			entry: `127.0.0.1:${port}`, method: 'GET', path: '/', body: undefined, headers: {}, dispatcher, timeoutMs: 5000,
		})).to.include({result: 'unreached'});
	});
});
