import {Buffer} from 'node:buffer';
import net, {type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
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

	describe('with a line of another form', () => {
		const wasClosedEarly = (): boolean => closedEarly > 0;
		const odd: ReadonlyArray<Readonly<Record<string, unknown>>> = [
			{running: -1},
			{running: 0.5},
			{running: 1e308},
			{waiting: -1},
			{waiting: '1'},
			{version: 1e308},
			{version: 0.5},
			{version: null},
			{pace: -1},
			{pace: 1e308},
			{pace: null},
			{address: 7},
			{isSwitching: 1},
		];

		for (const fields of odd) {
			it(`takes no report from ${JSON.stringify(fields)}`, async () => {
				expect(await follow(await serve(`${JSON.stringify({...report, ...fields})}\n`.repeat(20)))).to.have.length(0);
				expect(wasClosedEarly()).to.equal(true);
			});
		}

		it('takes no report from nested lists', async () => {
			expect(await follow(await serve(`${'['.repeat(8000)}${']'.repeat(8000)}\n`))).to.have.length(0);
		});
	});

	it('goes on trying when no connection can be made to the address, and reads the other feeds', async () => {
		const metrics = new MemoryMetrics();
		const rejections: unknown[] = [];
		const onRejection = (reason: unknown): void => {
			rejections.push(reason);
		};

		process.on('unhandledRejection', onRejection);
		const reports: UpstreamReport[] = [];
		const reader = new ReportReader({
			onReport(received) {
				reports.push(received);
			},
			clock: new SystemClock(), random: seededRandom(1), log: SILENT_LOG, metrics,
		});
		reader.follow(['127.0.0.1:99999', await serve(`${JSON.stringify(report)}\n`.repeat(20))]);
		await delay(1500);
		reader.close();
		process.off('unhandledRejection', onRejection);
		expect(rejections).to.deep.equal([]);
		expect(metrics.counters.get('reports.lost_feeds')).to.be.greaterThan(1);
		expect(reports.length).to.be.greaterThan(1);
	});
});
