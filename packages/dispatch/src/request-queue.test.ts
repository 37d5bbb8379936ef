import {expect} from 'chai';
import {WaitingLine, type Waiting} from './request-queue.js';

const waiting = (item: string, changes: Partial<Waiting<string>> = {}): Waiting<string> => ({
	item, account: item, priority: 1, goalAt: 1000, ...changes,
});

const drainAll = (line: WaitingLine<string>, now = 0): readonly string[] => {
	const order: string[] = [];
	for (let next = line.peek(now); next; next = line.peek(now)) {
		line.takeServed(next);
		order.push(next.item);
	}

	return order;
};

describe('WaitingLine', () => {
	describe('a burst over the places', () => {
		it('serves what can still meet its goal before what cannot, and urgent before less urgent', () => {
			const line = new WaitingLine<string>();
			line.add(waiting('late', {goalAt: 10}));
			line.add(waiting('plain'));
			line.add(waiting('urgent', {priority: 0}));
			expect(drainAll(line, 100)).to.deep.equal(['urgent', 'plain', 'late']);
		});

		it('lets accounts take turns, so that a large one does not starve a small one', () => {
			const line = new WaitingLine<string>();
			for (let i = 0; i < 5; i++) {
				line.add(waiting(`large-${i}`, {account: 'large', goalAt: 100 + i}));
			}

			line.add(waiting('small', {account: 'small', goalAt: 900}));
			expect(drainAll(line).indexOf('small')).to.equal(1);
		});
	});

	describe('ahead', () => {
		it('counts only what would go first, so that an urgent request is not rejected for a long queue of others', () => {
			const line = new WaitingLine<string>();
			line.add(waiting('one', {priority: 2}));
			line.add(waiting('two', {priority: 2}));
			expect(line.ahead(0, {isLate: false, now: 0})).to.equal(0);
			expect(line.ahead(2, {isLate: false, now: 0})).to.equal(2);
			expect(line.ahead(0, {isLate: true, now: 0})).to.equal(2);
		});
	});
});
