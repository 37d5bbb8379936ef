import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter} from './event-stream.js';
import {
	deliverStream, eventTexts as events, feedRun as run, plainEvent as event,
} from './testing/stream-delivery.js';

const SEED = 20_261_206;
/** @returns the numbers of the data that the caller has; undefined if the stream was cut */
const deliver = (length: number, spoilt: string, partBytes: number): readonly number[] | undefined => {
	const received = deliverStream({length, partBytes, spoil: (sent, runs) => runs === 0 ? spoilt : sent});
	return received === undefined ? undefined : [...received.matchAll(/event (\d+)\n/gu)].map(([, number]) => Number(number));
};

const all = (length: number): readonly number[] => Array.from({length}, (_, index) => index + 1);

/** Replaces the id line of one event. */
const withIdLine = (length: number, number: number, line: string): string => events(1, length).replace(`id: ${number}\n`, line);

describe('a stream whose events are spoilt on the way from its upstream', () => {
	const length = 6;
	const lines: Readonly<Record<string, (number: number) => string>> = {
		'missing id': () => '',
		'lower number': number => `id: ${number - 1}\n`,
		'much lower number': () => 'id: 0\n',
		'number higher by more than one': number => `id: ${number + 90}\n`,
		'no number': () => 'id: x\n',
		'line of another name': number => `ix: ${number}\n`,
	};

	for (const [name, line] of Object.entries(lines)) {
		describe(name, () => {
			for (const number of all(length)) {
				it(`of event ${number} of ${length} ends complete with each event once, or is cut`, () => {
					for (const partBytes of [1, 7, 23, 1000]) {
						const numbers = deliver(length, withIdLine(length, number, line(number)), partBytes);
						if (numbers !== undefined) {
							expect(numbers).to.deep.equal(all(length));
						}
					}
				});
			}

			it('is continued where the events before it are certain', () => {
				for (const number of [3, 4, 5, 6]) {
					expect(deliver(length, withIdLine(length, number, line(number)), 1000)).to.deep.equal(all(length));
				}
			});
		});
	}

	it('passes on the sound events of a read before a spoilt one', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		const outcome = run(splitter, withIdLine(4, 3, 'id: 93\n'), 1000);
		expect(outcome.received).to.equal(events(1, 2));
		expect(outcome.lastId).to.equal('2');
	});

	it('is not continued when the second event contradicts the first, since either may be spoilt', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		const outcome = run(splitter, withIdLine(4, 1, 'id: 91\n'), 1000);
		expect([outcome.isBroken, outcome.canContinue]).to.deep.equal([true, false]);
	});

	it('is continued when it breaks off after its first event', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		run(splitter, event(1), 1000);
		expect(splitter.canContinue).to.equal(true);
		expect(run(splitter, events(2, 3), 1000).received).to.equal(events(2, 3));
	});

	it('does not end as complete when a run stops among the events that the caller has', () => {
		const splitter = new EventSplitter({eventNumber: Number, lastId: '5'});
		expect(run(splitter, events(1, 3), 1000).isBroken).to.equal(true);
		expect(run(splitter, events(1, 6), 1000)).to.include({isBroken: false, received: event(6)});
	});

	it('skips an event that is sent again with the same bytes, and can still be continued after it', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		expect(run(splitter, `${event(1)}${event(1)}`, 1000)).to.include({isBroken: false, received: event(1), canContinue: true});
		expect(run(splitter, events(2, 3), 1000).received).to.equal(events(2, 3));
	});

	it('lets comments through between numbered events', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		const text = `${event(1)}: still there\n\n${event(2)}`;
		expect(run(splitter, text, 1000)).to.include({isBroken: false, received: text});
	});

	it('of any length, with an id line dropped, doubled or changed at any place, in reads of any size', () => {
		const changes = fc.constantFrom<(line: string) => string>(() => '', line => line + line, line => line.replace(/\d+/u, digits => String(Number(digits) + 7)), line => line.replace('id', 'xd'));
		fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.nat(59), changes, fc.integer({min: 1, max: 400}), (length, place, change, partBytes) => {
			const number = (place % length) + 1;
			const line = `id: ${number}\n`;
			const numbers = deliver(length, events(1, length).replace(line, change(line)), partBytes);
			expect(numbers === undefined || numbers.join(' ') === all(length).join(' ')).to.equal(true);
		}), {seed: SEED, numRuns: 400});
	});

	// Guards against an event that the caller gets twice: nothing tells the next upstream that the caller has it.
	it('is not continued after data without a number', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		run(splitter, 'xd: 1\ndata: event 1\n\n', 1000);
		expect(splitter.canContinue).to.equal(false);
		expect(run(splitter, events(2, 3), 1000).canContinue).to.equal(true);
	});

	// Guards against a stream that ends as complete after its first event, whose number was too high.
	it('does not end as complete when the run after a single event brings nothing that bears out its number', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		run(splitter, 'id: 91\ndata: event 1\n\nid: 2\nda', 1000);
		expect(run(splitter, '', 1000).isBroken).to.equal(true);
	});

	it('ends as complete when another upstream has nothing to add after a number that is certain', () => {
		const splitter = new EventSplitter({eventNumber: Number});
		run(splitter, `${events(1, 2)}id`, 1000);
		expect(run(splitter, '', 1000).isBroken).to.equal(false);
		expect(run(new EventSplitter({eventNumber: Number, lastId: '2'}), '', 1000).isBroken).to.equal(false);
	});
});
