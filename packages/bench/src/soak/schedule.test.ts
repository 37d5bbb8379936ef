import {expect} from 'chai';
import {seededRandom} from '@yuccawood/common';
import {drawSchedule, type Step} from './schedule.js';

const steps = (seed: string, count: number): readonly Step[] => {
	const schedule = drawSchedule(seededRandom(seed));
	return Array.from({length: count}, () => schedule.next().value);
};

describe('drawSchedule', () => {
	it('draws the same faults from the same seed', () => {
		expect(steps('a', 50)).to.deep.equal(steps('a', 50));
		expect(steps('a', 50)).to.not.deep.equal(steps('b', 50));
	});

	it('lets nothing disturb a planned stop, so that what it cuts is its own fault', () => {
		for (const [index, {faults}] of steps('stops', 500).entries()) {
			if (faults.some(({kind}) => kind === 'planned-stop')) {
				expect(faults).to.have.length(1);
				expect(steps('stops', 500)[index - 1].faults).to.have.length(0);
			}
		}
	});

	it('draws every kind, and pairs of them', () => {
		const drawn = steps('kinds', 1000);
		expect(new Set(drawn.flatMap(({faults}) => faults.map(({kind}) => kind))).size).to.equal(22);
		expect(drawn.filter(({faults}) => faults.length === 2)).to.have.length.above(100);
	});
});
