import {expect} from 'chai';
import {RequestQueue, type QueuedRequest} from './request-queue.js';

const request = (item: string, changes: Partial<QueuedRequest<string>> = {}): QueuedRequest<string> => ({
	item, account: item, priority: 1, goalAt: 1000, ...changes,
});

const drainAll = (queue: RequestQueue<string>, now = 0): readonly string[] => {
	const order: string[] = [];
	for (let next = queue.peek(now); next; next = queue.peek(now)) {
		queue.removeServed(next);
		order.push(next.item);
	}

	return order;
};

describe('RequestQueue', () => {
	describe('order of requests', () => {
		it('serves requests that can still meet their latency goal first, then by priority', () => {
			const queue = new RequestQueue<string>();
			queue.add(request('late', {goalAt: 10}));
			queue.add(request('plain'));
			queue.add(request('urgent', {priority: 0}));
			expect(drainAll(queue, 100)).to.deep.equal(['urgent', 'plain', 'late']);
		});

		it('alternates between client accounts, so that a large one does not starve a small one', () => {
			const queue = new RequestQueue<string>();
			for (let i = 0; i < 5; i++) {
				queue.add(request(`large-${i}`, {account: 'large', goalAt: 100 + i}));
			}

			queue.add(request('small', {account: 'small', goalAt: 900}));
			expect(drainAll(queue).indexOf('small')).to.equal(1);
		});
	});

	describe('countAhead', () => {
		it('counts only requests that would be served earlier', () => {
			const queue = new RequestQueue<string>();
			queue.add(request('one', {priority: 2}));
			queue.add(request('two', {priority: 2}));
			expect(queue.countAhead(0, {isLate: false, now: 0})).to.equal(0);
			expect(queue.countAhead(2, {isLate: false, now: 0})).to.equal(2);
			expect(queue.countAhead(0, {isLate: true, now: 0})).to.equal(2);
		});
	});
});
