import {Buffer} from 'node:buffer';
import process from 'node:process';
import {delay} from '@yuccawood/common';
import {expect} from 'chai';
import {
	answerChat, chat, send, statusOf, TestFleet,
} from './test-fleet.test.js';

/** Requests to the faulty engine that are open at the same time. */
const FAULTY_CALLERS = 40;
const WRITE_BYTES = 64 * 1024;

/** Memory that all of them may take, in megabytes, in a process with entry, agents and upstreams. */
const MAX_GROWTH_MB = 200;

const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

/** The first bytes of an answer, and those that follow without end. */
const FORMS: Readonly<Record<string, readonly [string, string]>> = {
	'short header lines': ['HTTP/1.1 200 OK\r\n', 'a: b\r\n'],
	'blank lines': ['', '\r\n'],
	'a chunk extension': [`${CHUNKED}4;x=`, 'x'],
	trailers: [`${CHUNKED}4\r\ntext\r\n0\r\n`, 'a: b\r\n'],
	'large chunks': [CHUNKED, `3e80\r\n${'x'.repeat(16_000)}\r\n`],
};

describe('upstreams that send bytes without end, to many requests at once', function () {
	this.timeout(30_000);
	let fleet: TestFleet;

	beforeEach(() => {
		fleet = new TestFleet();
	});

	afterEach(async () => {
		await fleet.close();
	});

	const expectServesOthers = async ([first, endless]: readonly [string, string]): Promise<void> => {
		const bytes = Buffer.from(endless.repeat(Math.ceil(WRITE_BYTES / endless.length)));
		const faulty = await fleet.upstream((_request, response) => {
			const {socket} = response;
			const write = (): void => {
				while (socket?.writable && socket.write(bytes)) {
					// Writes as much as the connection takes.
				}
			};

			socket?.on('error', () => undefined);
			socket?.on('drain', write);
			socket?.write(first);
			write();
		});
		const sound = await fleet.upstream(answerChat);
		await fleet.agent('engine-1', faulty, {capacity: FAULTY_CALLERS});
		await fleet.agent('plain-1', sound, {kind: 'service', capacity: 100});
		const entry = await fleet.entry();
		const before = process.memoryUsage().rss;
		const faultyCalls = Array.from({length: FAULTY_CALLERS}, async (_, index) => statusOf(chat(entry, `call ${index}`)));
		const statuses: number[] = [];
		let peak = before;
		for (let call = 0; call < 20; call++) {
			statuses.push(await statusOf(send(entry, '/orders')));
			peak = Math.max(peak, process.memoryUsage().rss);
			await delay(20);
		}

		expect(faulty.receivedIds.length).to.be.greaterThan(0);
		expect(statuses.filter(status => status !== 200)).to.deep.equal([]);
		expect((peak - before) / 1024 / 1024).to.be.below(MAX_GROWTH_MB);
		const outcomes = await Promise.allSettled(faultyCalls);
		expect(outcomes.filter(outcome => outcome.status === 'fulfilled' && outcome.value === 200)).to.deep.equal([]);
	};

	for (const [name, form] of Object.entries(FORMS)) {
		it(`leave memory and time for other requests: ${name}`, async () => {
			await expectServesOthers(form);
		});
	}
});
