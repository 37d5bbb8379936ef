import {expect} from 'chai';
import {TurnQueue} from './turn-queue.js';

const turn = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

describe('TurnQueue', () => {
	it('makes so many calls in each turn, in order, so that other work gets its turn between them', async () => {
		const queue = new TurnQueue({perTurn: 2});
		const made: number[] = [];
		for (let call = 0; call < 5; call++) {
			queue.add(() => {
				made.push(call);
			});
		}

		const afterTurns: number[] = [];
		for (let turns = 0; turns < 4; turns++) {
			await turn();
			afterTurns.push(made.length);
		}

		expect(made).to.deep.equal([0, 1, 2, 3, 4]);
		expect(afterTurns).to.deep.equal([2, 4, 5, 5]);
	});
});
