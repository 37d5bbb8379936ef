import {expect} from 'chai';
import {hasPathRoom, pathSilenceMs} from './path-room.js';
import {NOTHING_UNDER_WAY, type UnconfirmedSends} from './sends-under-way.js';

const USUAL_START_MS = 100;
const SILENCE_MS = pathSilenceMs({usualStartMs: USUAL_START_MS});

const hasRoom = (underWay: Partial<UnconfirmedSends>, answerGoalMs?: number): boolean =>
	hasPathRoom({underWay: {...NOTHING_UNDER_WAY, ...underWay}}, {usualStartMs: USUAL_START_MS, answerGoalMs});

describe('hasPathRoom', () => {
	describe('while answers come in time', () => {
		it('takes as much as the window holds', () => {
			expect(hasRoom({
				sends: 20, bytes: 20_000, oldestMs: SILENCE_MS, newestMs: 0,
			})).to.equal(true);
			expect(hasRoom({
				sends: 2, bytes: 10_000, oldestMs: 100, newestMs: 0, windowBytes: 10_000,
			})).to.equal(false);
		});

		it('takes one send however small the window is', () => {
			expect(hasRoom({windowBytes: 1})).to.equal(true);
		});
	});

	describe('on a path that has shown nothing for longer than answers usually take', () => {
		it('takes nothing more', () => {
			expect(hasRoom({
				sends: 1, bytes: 100, oldestMs: SILENCE_MS + 1, newestMs: 10,
			})).to.equal(false);
		});

		it('takes single probes at growing intervals', () => {
			let probes = 0;
			let probedAt = 0;
			for (let now = 0; now < SILENCE_MS * 32; now++) {
				const isTaken = now > SILENCE_MS && hasRoom({
					sends: probes + 1, bytes: 100, oldestMs: now, newestMs: now - probedAt,
				});
				if (isTaken) {
					probes++;
					probedAt = now;
				}
			}

			expect(probes).to.be.within(3, 6);
		});
	});

	describe('in an entry that is behind with reading', () => {
		it('allows for the time for which responses may have waited', () => {
			const underWay = {
				...NOTHING_UNDER_WAY, sends: 1, bytes: 100, oldestMs: SILENCE_MS + 100, newestMs: 10,
			};
			expect(hasPathRoom({underWay}, {usualStartMs: USUAL_START_MS, readDelayMs: 100})).to.equal(true);
			expect(hasPathRoom({underWay}, {usualStartMs: USUAL_START_MS, readDelayMs: 99})).to.equal(false);
		});
	});

	describe('of a plain service', () => {
		it('allows for the time that its answers may take', () => {
			expect(hasRoom({
				sends: 1, bytes: 100, oldestMs: 2000, newestMs: 10,
			}, 3000)).to.equal(true);
		});
	});
});
