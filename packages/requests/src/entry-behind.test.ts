import net from 'node:net';
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

describe('an entry that was busy when a request came', () => {
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet();
	});

	afterEach(async () => {
		await fleet.close();
	});

	/** @returns the status line of the answer, and the number of requests that the upstream received */
	const answerAfterBlock = async (deadlineMs: number): Promise<{readonly status: string; readonly received: number}> => {
		const upstream = await fleet.upstream(answerChat);
		await fleet.agent('engine-1', upstream);
		const entry = await fleet.entry();
		const [host, port] = entry.address.split(':');
		const socket = net.connect(Number(port), host);
		await new Promise(resolve => {
			socket.once('connect', resolve);
		});
		await delay(100);
		const body = chatBody('hello');
		const answered = new Promise<string>(resolve => {
			socket.once('data', data => {
				resolve(data.toString().split('\r\n', 1)[0]);
			});
		});
		socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nyuccawood-deadline-ms: ${deadlineMs}\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		block(700);
		const status = await answered;
		socket.destroy();
		return {status, received: upstream.receivedIds.length};
	};

	it('does not send it after its deadline, which counts from its arrival', async () => {
		expect(await answerAfterBlock(500)).to.deep.equal({status: 'HTTP/1.1 504 Gateway Timeout', received: 0});
	});

	it('answers it in the time that is left', async () => {
		expect(await answerAfterBlock(5000)).to.deep.equal({status: 'HTTP/1.1 200 OK', received: 1});
	});
});
