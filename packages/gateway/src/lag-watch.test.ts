import net, {type AddressInfo, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import FakeTimers from '@sinonjs/fake-timers';
import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {LagWatch} from './lag-watch.js';

const CONNECTIONS = 10;
const TURN_MS = 5;

describe('LagWatch', () => {
	describe('of timers', () => {
		let timers: FakeTimers.Clock;
		let aheadMs: number;
		let delays: number[];
		let watch: LagWatch;

		beforeEach(() => {
			timers = FakeTimers.install({toFake: ['setInterval', 'clearInterval']});
			aheadMs = 0;
			delays = [];
			watch = new LagWatch({
				clock: {monotonic: () => timers.now + aheadMs},
				metrics: {
					timing(name, milliseconds) {
						if (name === 'gateway.loop_delay_ms') {
							delays.push(milliseconds);
						}
					},
				},
			});
			watch.start(net.createServer());
		});

		afterEach(() => {
			watch.stop();
			timers.uninstall();
		});

		it('shows no delay while they fire in time', () => {
			timers.tick(200);
			expect(watch.loopDelayMs).to.equal(0);
			expect(delays).to.deep.equal([0, 0, 0, 0]);
		});

		it('shows a long turn before the timer has fired', () => {
			aheadMs = 400;
			expect(watch.loopDelayMs).to.equal(350);
		});

		it('records a long turn once', () => {
			aheadMs = 400;
			timers.tick(150);
			expect(delays).to.deep.equal([400, 0, 0]);
			expect(watch.loopDelayMs).to.equal(0);
		});
	});

	describe('of connections', () => {
		const clock = new SystemClock();
		let server: net.Server;
		let sockets: readonly Socket[];
		let watch: LagWatch;

		beforeEach(async () => {
			watch = new LagWatch({clock, metrics: {timing: () => undefined}});
			server = net.createServer();
			watch.start(server);
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			sockets = Array.from({length: CONNECTIONS}, () => net.connect((server.address() as AddressInfo).port, '127.0.0.1'));
		});

		afterEach(async () => {
			watch.stop();
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
				longestMs = Math.max(longestMs, watch.acceptBacklogMs);
			}

			expect(longestMs).to.be.within((CONNECTIONS - 2) * TURN_MS, 4 * CONNECTIONS * TURN_MS);
			expect(watch.acceptBacklogMs).to.equal(0);
		});
	});
});
