import net, {type AddressInfo, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {AcceptBacklog} from './accept-backlog.js';

const CONNECTIONS = 10;
const TURN_MS = 5;

describe('AcceptBacklog', () => {
	let now: number;
	let polls: Array<() => void>;
	let backlog: AcceptBacklog;

	const poll = (): void => {
		const calls = polls;
		polls = [];
		for (const call of calls) {
			call();
		}
	};

	beforeEach(() => {
		now = 5000;
		polls = [];
		backlog = new AcceptBacklog({
			clock: {monotonic: () => now}, afterPoll(call) {
				polls.push(call);
			},
		});
	});

	it('counts from the poll before the first of several connections', () => {
		expect(backlog.recordAccept(700)).to.equal(4300);
		now += 3;
		poll();
		expect(backlog.recordAccept(3)).to.equal(4300);
		expect(backlog.isDraining).to.equal(true);
	});

	it('counts anew after a turn without a connection', () => {
		backlog.recordAccept(700);
		poll();
		poll();
		expect(backlog.isDraining).to.equal(false);
		expect(polls).to.have.length(0);
		now += 100;
		expect(backlog.recordAccept(2)).to.equal(5098);
	});

	describe('of a server', () => {
		const clock = new SystemClock();
		let server: net.Server;
		let sockets: readonly Socket[];
		let backlog: AcceptBacklog;

		beforeEach(async () => {
			backlog = new AcceptBacklog({clock});
			server = net.createServer();
			server.on('connection', () => {
				backlog.recordAccept(0);
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			sockets = Array.from({length: CONNECTIONS}, () => net.connect((server.address() as AddressInfo).port, '127.0.0.1'));
		});

		afterEach(async () => {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		});

		it('shows for how long they have waited in the kernel although each turn is short', async () => {
			let longestMs = 0;
			for (let turn = 0; turn < 2 * CONNECTIONS; turn++) {
				const end = clock.monotonic() + TURN_MS;
				while (clock.monotonic() < end) {
					// A turn with work.
				}

				await setImmediate();
				longestMs = Math.max(longestMs, backlog.waitMs);
			}

			expect(longestMs).to.be.within((CONNECTIONS - 2) * TURN_MS, 4 * CONNECTIONS * TURN_MS);
			expect(backlog.waitMs).to.equal(0);
		});
	});
});
