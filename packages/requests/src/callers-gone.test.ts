import http from 'node:http';
import net, {type Socket} from 'node:net';
import {delay, SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {answerChat, chatBody, TestFleet} from './test-fleet.test.js';

const clock = new SystemClock();

/** Keeps the process from handling events. */
const block = (milliseconds: number): void => {
	const end = clock.monotonic() + milliseconds;
	while (clock.monotonic() < end) {
		// The process is busy.
	}
};

describe('requests whose callers have left', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet();
	});

	afterEach(async () => {
		await fleet.close();
	});

	it('are not sent on by an entry that was busy when they came', async () => {
		const upstream = await fleet.upstream(answerChat);
		await fleet.agent('engine-1', upstream, {capacity: 100});
		const entry = await fleet.entry();
		const [host, port] = entry.address.split(':');
		const sockets = await Promise.all(Array.from({length: 20}, async () => new Promise<Socket>(resolve => {
			const socket = net.connect(Number(port), host, () => {
				resolve(socket);
			});
		})));
		await delay(50);
		const body = chatBody('hello');
		for (const socket of sockets) {
			socket.end(`POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		}

		block(700);
		await delay(300);
		expect(upstream.receivedIds).to.deep.equal([]);
	});

	it('are not sent again after a pause in which they left', async () => {
		let sends = 0;
		const upstream = await fleet.upstream(answerChat);
		const agent = http.createServer((request, response) => {
			request.resume();
			sends++;
			response.writeHead(503, {
				'yuccawood-request-id': String(request.headers['yuccawood-request-id']), 'yuccawood-vm': 'engine-1', 'yuccawood-incarnation': '7',
				'yuccawood-outcome': 'not-run', 'yuccawood-reason': 'overloaded',
			});
			response.end();
		}).listen(0, '127.0.0.1');
		await new Promise(resolve => {
			agent.once('listening', resolve);
		});
		const firstRequest = new Promise(resolve => {
			agent.once('request', resolve);
		});
		const bound = agent.address();
		await fleet.agent('engine-1', upstream, {addressOf: async () => `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`});
		const entry = await fleet.entry();
		const [host, port] = entry.address.split(':');
		const body = chatBody('hello');
		const socket = net.connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		await firstRequest;
		await delay(20);
		const sendsBefore = sends;
		socket.destroy();
		await delay(500);
		agent.close();
		agent.closeAllConnections();
		expect({sendsBefore, sends}).to.deep.equal({sendsBefore: 1, sends: 1});
	});
});
