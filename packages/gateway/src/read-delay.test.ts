import {expect} from 'chai';
import {ReadDelay} from './read-delay.js';

describe('ReadDelay', () => {
	let now: number;
	let idle: number;
	let delay: ReadDelay;
	let polls: Array<() => void>;

	const work = (milliseconds: number): void => {
		now += milliseconds;
	};

	const wait = (milliseconds: number): void => {
		now += milliseconds;
		idle += milliseconds;
	};

	const look = (): void => {
		delay.look();
		for (const call of polls.splice(0)) {
			call();
		}
	};

	beforeEach(() => {
		now = 1000;
		idle = 400;
		polls = [];
		delay = new ReadDelay({monotonic: () => now, idle: () => idle}, {
			afterPoll(call) {
				polls.push(call);
			},
		});
		look();
	});

	describe('in a process that keeps up', () => {
		it('is no longer than the work since the looks', () => {
			for (let i = 0; i < 250; i++) {
				wait(20);
				look();
			}

			wait(19);
			work(1);
			expect(delay.boundMs).to.equal(1);
		});

		it('does not count work before the previous look', () => {
			work(300);
			look();
			wait(20);
			look();
			wait(20);
			look();
			expect(delay.boundMs).to.equal(0);
		});
	});

	describe('in a process that was frozen', () => {
		it('covers the time of the freeze, although the loop seems to have been idle', () => {
			wait(20);
			look();
			wait(700);
			expect(delay.boundMs).to.equal(680);
		});
	});

	describe('in a process that is behind', () => {
		it('covers the whole turn', () => {
			work(400);
			expect(delay.boundMs).to.equal(400);
		});

		it('records one look after a poll, however many are asked for', () => {
			delay.look();
			work(400);
			look();
			work(1);
			expect(delay.boundMs).to.equal(401);
		});

		it('covers the turn before the latest look, whose bytes are read in the poll after it', () => {
			work(400);
			look();
			work(1);
			expect(delay.boundMs).to.equal(401);
		});
	});
});
