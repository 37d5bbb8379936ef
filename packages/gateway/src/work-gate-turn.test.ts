import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {WorkGate} from './work-gate.js';

const clock = new SystemClock();

const block = (milliseconds: number): void => {
	const end = clock.monotonic() + milliseconds;
	while (clock.monotonic() < end) {
		// The process is busy.
	}
};

describe('the work of one turn of the event loop', () => {
	it('is bounded also for work that continues after a promise', async () => {
		const gate = new WorkGate({clock, budgetMs: 5});
		let turn = 0;
		const workByTurn = new Map<number, number>();
		let isOver = false;
		const countTurns = (): void => {
			turn++;
			if (!isOver) {
				setImmediate(countTurns);
			}
		};

		setImmediate(countTurns);
		// A read continues with the placement once the body is complete, which it is at once for a request without one.
		await Promise.all(Array.from({length: 40}, async () => {
			const passed = await gate.pass({stage: 'read', signal: new AbortController().signal, arrivedAt: clock.monotonic()}, async () => {
				await Promise.resolve();
				block(2);
				workByTurn.set(turn, (workByTurn.get(turn) ?? 0) + 2);
			});
			return passed.kind === 'done' && passed.value;
		}));
		isOver = true;
		expect(Math.max(...workByTurn.values())).to.be.at.most(20);
	});
});
