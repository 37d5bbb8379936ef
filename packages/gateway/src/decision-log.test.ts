import {SILENT_LOG, type Log} from '@yuccawood/common';
import {expect} from 'chai';
import {DecisionLog} from './decision-log.js';

const REQUESTS = 3200;

describe('DecisionLog', () => {
	describe('of more decisions in a second than it may write', () => {
		let lines: ReadonlyArray<{readonly message: string; readonly requestId?: string}>;

		beforeEach(() => {
			const written: Array<{message: string; requestId?: string}> = [];
			const write = (message: string, fields = {}): void => {
				written.push({message, ...fields});
			};

			const log: Log = {
				...SILENT_LOG, info: write, warn: write, part: () => log,
			};
			const decisions = new DecisionLog({log, clock: {monotonic: () => 5000, now: () => 5000, sleep: async () => undefined}});
			for (let i = 0; i < REQUESTS; i++) {
				decisions.ordinary(`request-${i}`, 'Placed.', () => ({}));
			}

			for (let i = 0; i < REQUESTS; i++) {
				decisions.unusual(`request-${i}`, 'The caller left.', () => ({}));
			}

			for (let i = 0; i < REQUESTS; i++) {
				decisions.lost(`request-${i}`, 'An answer was cut.', {});
			}

			lines = written;
		});

		const idsOf = (wanted: string): ReadonlyArray<string | undefined> => lines.filter(({message}) => message === wanted).map(({requestId}) => requestId);

		it('keeps all decisions of the requests in its sample', () => {
			expect(idsOf('The caller left.')).to.include.members([...idsOf('Placed.')]);
		});

		it('keeps a small sample only', () => {
			expect(idsOf('Placed.').length).to.be.within(REQUESTS / 64, REQUESTS / 16);
		});

		// A stop cuts all that is left in the same moment.
		it('keeps all lost answers', () => {
			expect(idsOf('An answer was cut.').length).to.equal(REQUESTS);
		});

		it('limits the unusual decisions on other requests', () => {
			expect(idsOf('The caller left.').length - idsOf('Placed.').length).to.equal(100);
		});
	});
});
