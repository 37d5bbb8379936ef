import {Buffer} from 'node:buffer';
import net, {type AddressInfo, type Socket} from 'node:net';
import {
	delay, MemoryMetrics, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import type {UpstreamReport} from '@yuccawood/fleet';
import {expect} from 'chai';
import {ReportReader} from './report-reader.js';

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

/** Largest number of bytes written to a reader of an invalid feed, including those in socket buffers. */
const MAX_READ_BYTES = 16 * 1024 * 1024;
const report: UpstreamReport = {
	address: '127.0.0.1:1', running: 1, waiting: 0, isSwitching: false, pace: 1, version: 1,
};

describe('ReportReader', () => {
	const sockets = new Set<Socket>();
	let connections = 0;
	let closed = 0;

	/** Connections that the reader closed before the test closed the reader. */
	let closedEarly = 0;
	let written = 0;
	let server: net.Server;

	/** Starts a server that sends the text endlessly to each reader. @returns its address */
	const serve = async (text: string): Promise<string> => {
		const part = Buffer.from(text);
		server = net.createServer(socket => {
			connections++;
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				closed++;
			});
			const write = (): void => {
				written += part.byteLength;
				if (!socket.destroyed && socket.write(part)) {
					setImmediate(write);
				}
			};

			socket.on('drain', write);
			socket.once('data', () => {
				socket.write(HEAD);
				write();
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	};

	/** Follows a feed for half a second. @returns the received reports */
	const follow = async (address: string): Promise<readonly UpstreamReport[]> => {
		const reports: UpstreamReport[] = [];
		const reader = new ReportReader({
			onReport(received) {
				reports.push(received);
			},
			clock: new SystemClock(), random: seededRandom(1), log: SILENT_LOG, metrics: new MemoryMetrics(),
		});
		reader.follow([address]);
		await delay(500);
		closedEarly = closed;
		reader.close();
		return reports;
	};

	beforeEach(() => {
		connections = 0;
		closed = 0;
		written = 0;
	});
	afterEach(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			server.close(resolve);
		});
	});

	it('closes a feed with an endless line', async () => {
		expect(await follow(await serve('x'.repeat(32_000)))).to.have.length(0);
		expect(connections).to.be.within(1, 4);
		expect(closedEarly).to.be.greaterThan(0);
		expect(written).to.be.lessThan(MAX_READ_BYTES);
	});

	it('closes a feed with invalid lines instead of logging a warning for each', async () => {
		expect(await follow(await serve('no report\n'.repeat(3000)))).to.have.length(0);
		expect(connections).to.be.within(1, 4);
		expect(closedEarly).to.be.greaterThan(0);
		expect(written).to.be.lessThan(MAX_READ_BYTES);
	});

	it('keeps a feed of reports', async () => {
		const reports = await follow(await serve(`${JSON.stringify(report)}\n`.repeat(20)));
		expect([connections, closedEarly]).to.deep.equal([1, 0]);
		expect(reports.length).to.be.greaterThan(1);
	});
});
