import FakeTimers from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {LagWatch} from './lag-watch.js';

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
				backlog: {waitMs: 0},
			});
			watch.start();
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
});
