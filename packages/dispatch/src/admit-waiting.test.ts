import {expect} from 'chai';
import {admitWaiting, retryAfterMs} from './admit-waiting.js';
import type {UnplacedRequest} from './types.js';

const request = (changes: Partial<UnplacedRequest> = {}): UnplacedRequest => ({
	isServable: true, slackMs: 250, remainingMs: 6000, msUntilReturnIsRecognized: 0, ahead: 0, freedSlotsPerSecond: 50, ...changes,
});

/** Simulates a queue and returns the requests per second that start within their latency goal of 250 ms. */
const onTimePerSecond = ({arrivals, drain, admits}: {readonly arrivals: number; readonly drain: number; readonly admits: (ahead: number) => boolean}): number => {
	const seconds = 10;
	const queue: number[] = [];
	let inTime = 0;
	for (let ms = 0; ms < seconds * 1000; ms++) {
		if (ms % Math.round(1000 / arrivals) === 0 && admits(queue.length)) {
			queue.push(ms);
		}

		if (ms % Math.round(1000 / drain) === 0) {
			const arrivedAt = queue.shift();
			inTime += arrivedAt !== undefined && ms - arrivedAt <= 250 ? 1 : 0;
		}
	}

	return inTime / seconds;
};

describe('admitWaiting', () => {
	describe('overload', () => {
		it('uses almost every slot for a request that meets its goal, where an unbounded queue makes all late', () => {
			const bounded = onTimePerSecond({arrivals: 100, drain: 50, admits: ahead => admitWaiting(request({ahead}), 0.5).kind === 'wait'});
			const plain = onTimePerSecond({arrivals: 100, drain: 50, admits: () => true});
			expect(bounded).to.be.greaterThan(45);
			expect(plain).to.be.lessThan(10);
		});

		it('rejects a request that would get its slot only just before it misses its goal', () => {
			expect(admitWaiting(request({slackMs: 250, ahead: 9, freedSlotsPerSecond: 50}), 0.5).kind).to.equal('reject');
			expect(admitWaiting(request({slackMs: 250, ahead: 5, freedSlotsPerSecond: 50}), 0.5).kind).to.equal('wait');
		});

		it('lets a caller return only when its return can be told from a first attempt', () => {
			for (const random of [0, 0.5, 0.99]) {
				expect(retryAfterMs(request({msUntilReturnIsRecognized: 1100}), random)).to.be.within(1100, 1800);
			}
		});

		it('returns a longer retry delay while no upstream holds the required version', () => {
			for (const random of [0, 0.5, 0.99]) {
				expect(retryAfterMs(request({isServable: false, freedSlotsPerSecond: 0}), random)).to.be.within(850, 1800);
			}
		});

		it('rejects a request at once when the queue is too long for its latency goal', () => {
			const admission = admitWaiting(request({ahead: 40}), 0.5);
			expect(admission).to.include({kind: 'reject', reason: 'queue-too-long'});
		});
	});

	describe('requests that have missed their latency goal', () => {
		it('wait for a fraction of their remaining time when the queue is short', () => {
			expect(admitWaiting(request({slackMs: -1, ahead: 5, remainingMs: 4000}), 0)).to.deep.equal({kind: 'wait', forMs: 1000, reason: 'late-but-likely'});
		});

		it('are rejected at once when the queue takes longer than that', () => {
			expect(admitWaiting(request({slackMs: -1, ahead: 500, remainingMs: 4000}), 0).kind).to.equal('reject');
		});
	});

	describe('retryAfterMs', () => {
		it('varies the delay between callers that are rejected together', () => {
			const pauses = [0, 0.25, 0.5, 0.75].map(random => retryAfterMs(request({ahead: 99}), random));
			expect(new Set(pauses).size).to.equal(4);
		});

		it('does not exceed the fraction of the remaining time that callers accept', () => {
			expect(retryAfterMs(request({ahead: 9999, remainingMs: 1000}), 1)).to.equal(300);
		});
	});
});
