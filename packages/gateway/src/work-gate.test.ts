import {expect} from 'chai';
import {WorkGate, type GateResult, type GateStage} from './work-gate.js';

describe('WorkGate', () => {
	let now: number;
	let polls: Array<() => void>;
	let gate: WorkGate;
	let order: string[];
	let isHeld: boolean;

	const poll = (): void => {
		const calls = polls;
		polls = [];
		for (const call of calls) {
			call();
		}
	};

	const pollTimes = (times: number): void => {
		for (let i = 0; i < times; i++) {
			poll();
		}
	};

	beforeEach(() => {
		now = 0;
		polls = [];
		order = [];
		isHeld = false;
		gate = new WorkGate({
			clock: {monotonic: () => now}, budgetMs: 10, behindAfterMs: 30, overdueAfterMs: 200, isHeld: () => isHeld, maxHoldMs: 20, afterPoll(call) {
				polls.push(call);
			},
		});
	});

	const pass = async (name: string, {stage = 'send', signal = new AbortController().signal, tookMs = 4, arrivedAt}: {
		readonly stage?: GateStage; readonly signal?: AbortSignal; readonly tookMs?: number; readonly arrivedAt?: number;
	} = {}): Promise<GateResult<string>> => gate.pass({stage, signal, arrivedAt: arrivedAt ?? now}, () => {
		now += tookMs;
		order.push(name);
		return name;
	});

	describe('between work and the latest look at the sockets', () => {
		it('waits for two polls, because the end of a connection is read after the data before it', () => {
			void pass('a');
			poll();
			expect(order).to.deep.equal([]);
			poll();
			expect(order).to.deep.equal(['a']);
		});

		it('does no more work than the budget allows', () => {
			for (const name of ['a', 'b', 'c', 'd', 'e']) {
				void pass(name);
			}

			pollTimes(2);
			expect(order).to.have.length(3);
			poll();
			expect(order).to.have.length(5);
		});

		it('does a few pieces of work only, because their writes follow in the next turn', () => {
			for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) {
				void pass(name, {tookMs: 0});
			}

			pollTimes(2);
			expect(order).to.have.length(4);
			poll();
			expect(order).to.have.length(6);
		});

		it('drops work whose caller has left meanwhile', async () => {
			const controller = new AbortController();
			const passed = pass('a', {signal: controller.signal});
			void pass('b');
			poll();
			controller.abort();
			poll();
			expect(await passed).to.deep.equal({kind: 'dropped'});
			expect(order).to.deep.equal(['b']);
			expect(gate.waiting).to.equal(0);
		});
	});

	describe('while the process keeps up', () => {
		it('does the oldest work first, sends before reads', () => {
			void pass('read 1', {stage: 'read'});
			void pass('read 2', {stage: 'read'});
			void pass('send 1');
			pollTimes(3);
			expect(order).to.deep.equal(['send 1', 'read 1', 'read 2']);
		});
	});

	describe('while the process is behind', () => {
		it('does the newest work first, because callers of the older are about to leave', () => {
			void pass('old', {stage: 'read'});
			now += 100;
			void pass('new', {stage: 'read'});
			pollTimes(2);
			expect(order).to.deep.equal(['new', 'old']);
		});

		it('takes a request that waited elsewhere for old', () => {
			void pass('new', {arrivedAt: 90});
			void pass('old', {arrivedAt: 0});
			now += 100;
			pollTimes(2);
			expect(order).to.deep.equal(['new', 'old']);
		});

		it('refuses reads that newer work has overtaken for too long', async () => {
			const passed = pass('old', {stage: 'read'});
			now += 201;
			void pass('new', {stage: 'read'});
			pollTimes(2);
			expect(await passed).to.deep.equal({kind: 'overdue'});
			expect(order).to.deep.equal(['new']);
		});

		it('never refuses sends, which their time limits end', async () => {
			const passed = pass('old');
			now += 201;
			pollTimes(2);
			expect(await passed).to.deep.equal({kind: 'done', value: 'old'});
		});
	});

	describe('while connections wait to be accepted', () => {
		it('lets them be accepted first, for a limited time', () => {
			isHeld = true;
			void pass('a');
			pollTimes(5);
			expect(order).to.deep.equal([]);
			now += 20;
			poll();
			expect(order).to.deep.equal(['a']);
		});

		it('goes on at once when none is left', () => {
			isHeld = true;
			void pass('a');
			pollTimes(3);
			isHeld = false;
			poll();
			expect(order).to.deep.equal(['a']);
		});
	});

	describe('work that fails', () => {
		it('does not stop the work behind it', async () => {
			const passed = gate.pass({stage: 'send', signal: new AbortController().signal, arrivedAt: now}, () => {
				throw new Error('failed');
			});
			void pass('b');
			pollTimes(2);
			const [failed] = await Promise.allSettled([passed]);
			expect(failed.status).to.equal('rejected');
			expect(order).to.deep.equal(['b']);
		});
	});
});
