import {spawnSync} from 'node:child_process';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo, Socket} from 'node:net';
import process from 'node:process';
import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {CallerConnections} from './caller-connections.js';

const clock = new SystemClock();
const WAIT_MS = 100_000;
const HEAD = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

describe('CallerConnections', () => {
	describe('for a request on a connection that may have waited 1.3 s to be accepted', () => {
		let now: number;
		let polls: Array<() => void>;
		let connections: CallerConnections;
		let socket: Socket;

		const poll = (): void => {
			for (const call of polls.splice(0)) {
				call();
			}
		};

		beforeEach(() => {
			now = 5000;
			polls = [];
			connections = new CallerConnections(() => now, {
				afterPoll(call) {
					polls.push(call);
				},
			});
			socket = new Socket();
			connections.add(socket, now - 1300);
			poll();
		});

		// Guards against time that passes in a poll which is preempted and seems idle, so that the read delay leaves it out.
		it('counts the wait if the first poll shows the request, however short the read delay is', () => {
			now += 6;
			expect(connections.arrivalOf(socket, 5.3)).to.equal(3700);
			expect(connections.arrivalOf(socket, 0)).to.equal(3700);
		});

		it('counts the read delay alone if a later poll shows the request, however long that delay is', () => {
			poll();
			now += 6;
			expect(connections.arrivalOf(socket, 2)).to.equal(5004);
			expect(connections.arrivalOf(socket, 40)).to.equal(4966);
		});

		it('counts the read delay alone for the next request', () => {
			connections.beginRequest(socket);
			expect(connections.arrivalOf(socket, 40)).to.equal(4960);
		});
	});

	describe('of a server', () => {
		let server: http.Server;
		let port: number;
		let caller: Socket | undefined;
		let arrival: Promise<unknown[]>;

		beforeEach(async () => {
			const connections = new CallerConnections(clock.monotonic);
			server = http.createServer(request => {
				server.emit('arrival', clock.monotonic() - connections.arrivalOf(request.socket, 0));
			});
			arrival = once(server, 'arrival');
			server.on('connection', socket => {
				connections.add(socket, clock.monotonic() - WAIT_MS);
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			({port} = server.address() as AddressInfo);
		});

		afterEach(async () => {
			caller?.destroy();
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		});

		/** Sends the rest once the connection has been accepted and polled. */
		const send = async (first: string, rest: string): Promise<void> => {
			caller = net.connect(port, '127.0.0.1').setNoDelay();
			caller.write(first);
			await clock.sleep(100);
			caller.write(rest);
		};

		it('counts the wait for a request that came before the accept', async () => {
			// This process does nothing else until the caller has sent it.
			const source = `require('node:net').connect(${port}, '127.0.0.1').end(${JSON.stringify(HEAD)}, () => process.exit())`;
			expect(spawnSync(process.execPath, ['-e', source]).status).to.equal(0);
			const [delayMs] = await arrival;
			expect(delayMs).to.be.at.least(WAIT_MS);
		});

		it('does not count it for a request that comes later', async () => {
			await send('', HEAD);
			const [delayMs] = await arrival;
			expect(delayMs).to.be.below(WAIT_MS);
		});

		it('does not count it for a request whose head ends later', async () => {
			await send(HEAD.slice(0, 20), HEAD.slice(20));
			const [delayMs] = await arrival;
			expect(delayMs).to.be.below(WAIT_MS);
		});
	});
});
