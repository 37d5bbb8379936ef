import {expect} from 'chai';
import {TargetQueue, type QueueResult} from './target-queue.js';

describe('TargetQueue', () => {
	let freeSlots: number;
	let queue: TargetQueue;
	let order: string[];

	beforeEach(() => {
		freeSlots = 0;
		order = [];
		queue = new TargetQueue({isFull: () => freeSlots === 0, capacity: () => 4});
	});

	const enter = async (account: string, {weight = 1, deadlineAt = 1000}: {readonly weight?: number; readonly deadlineAt?: number} = {}): Promise<QueueResult> => {
		const answer = await queue.enter({
			account, weight, deadlineAt, isDisconnected: () => false,
		});
		order.push(`${account} ${answer}`);
		return answer;
	};

	/** Admits waiting calls one by one. */
	const admit = async (count: number): Promise<void> => {
		for (let i = 0; i < count; i++) {
			freeSlots = 1;
			queue.admitNext();
			freeSlots = 0;
			await Promise.resolve();
			await Promise.resolve();
		}
	};

	it('alternates between accounts, so that many calls of one do not delay another', async () => {
		const calls = ['large', 'large', 'large', 'small', 'small'].map(async account => enter(account));
		await admit(5);
		await Promise.all(calls);
		expect(order).to.deep.equal(['large', 'small', 'large', 'small', 'large'].map(account => `${account} admitted`));
	});

	it('admits calls in proportion to the weights of their accounts', async () => {
		const calls = Array.from({length: 12}, async (_, i) => enter(i % 2 === 0 ? 'light' : 'heavy', {weight: i % 2 === 0 ? 1 : 2}));
		await admit(6);
		expect(order.filter(item => item.startsWith('heavy'))).to.have.length(4);
		await admit(6);
		await Promise.all(calls);
	});

	it('rejects the newest call of the account with the most waiting calls when the queue is full', async () => {
		const large = Array.from({length: 16}, async () => enter('large'));
		const small = enter('small');
		await Promise.resolve();
		expect(await enter('large')).to.equal('full');
		await admit(16);
		expect(await small).to.equal('admitted');
		const answers = await Promise.all(large);
		expect(answers.filter(answer => answer === 'full')).to.have.length(1);
	});

	it('does not admit a call whose caller has disconnected', async () => {
		freeSlots = 1;
		expect(await queue.enter({
			account: 'a', weight: 1, deadlineAt: 1000, isDisconnected: () => true,
		})).to.equal('expired');
	});

	it('ends the wait at the deadline', async () => {
		const call = enter('large', {deadlineAt: 10});
		queue.expire(10);
		expect(await call).to.equal('expired');
		expect(queue.length).to.equal(0);
	});
});
