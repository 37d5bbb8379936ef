import {expect} from 'chai';
import fc from 'fast-check';
import {
	deliverStream, eventTexts, plainEvent, type EventText,
} from './testing/stream-delivery.js';

const SEED = 20_261_207;
const FORMS: Readonly<Record<string, EventText>> = {
	'one line of data': plainEvent,
	'several lines of data': number => `id: ${number}\ndata: event ${number}\ndata: id: ${number + 1}\ndata:\n\n`,
	'other fields first': number => `${number === 1 ? 'version: 1\n' : ''}event: token\nid: ${number}\ndata: event ${number}\n\n`,
	'the id last': number => `data: event ${number}\nid: ${number}\n\n`,
	'a comment before each': number => `: still there\n\nid:${number}\ndata: event ${number}\n\n`,
};

/** One change of the bytes that an upstream sends. */
type Spoilage = {readonly kind: 'change' | 'drop' | 'double' | 'insert'; readonly at: number; readonly byte: string};

const spoilBytes = (sent: string, {kind, at, byte}: Spoilage): string => {
	switch (kind) {
		case 'change': {
			return sent.slice(0, at) + byte + sent.slice(at + 1);
		}

		case 'drop': {
			return sent.slice(0, at) + sent.slice(at + 1);
		}

		case 'double': {
			return sent.slice(0, at + 1) + sent.slice(at);
		}

		case 'insert': {
			return sent.slice(0, at) + byte + sent.slice(at);
		}
	}
};

const KINDS = ['change', 'drop', 'double', 'insert'] as const;
const BYTES = ['\n', '\r', ' ', ':', '0', '7', 'i', 'x', '\u0000', '\u00FF'] as const;

type Expectation = {
	readonly length: number;
	readonly event: EventText;

	/** Whether the event had a wrong byte, so that a caller may lack it. */
	readonly spoilt: (number: number) => boolean;
};

/** The events of a text, without the empty lines that a doubled byte leaves before one. */
const splitEvents = (text: string): readonly string[] => text.split('\n\n').map(event => event.replace(/^\n+/u, ''));

/** Numbers of the events that the upstream sent as they should be, and that the caller lacks or has more than once. */
const wrongEvents = (received: string, {length, event, spoilt}: Expectation): readonly number[] => {
	const found = splitEvents(received);
	return Array.from({length}, (_, index) => index + 1).filter(number => {
		const numbered = splitEvents(event(number)).at(-2);
		const count = found.filter(text => text === numbered).length;
		return count > 1 || (count === 0 && !spoilt(number));
	});
};

/** Number of the event to which a byte belongs. */
const eventAt = (at: number, event: EventText): number => {
	let number = 1;
	for (let end = event(1).length; end <= at; end += event(number).length) {
		number++;
	}

	return number;
};

describe('a stream of which an upstream sends a wrong byte', () => {
	for (const [name, event] of Object.entries(FORMS)) {
		// Guards against a stream that ends as complete without an event that was sent as it should be.
		it(`ends complete with all sound events, or is cut, whichever byte it is, with ${name}`, () => {
			for (const length of [1, 2, 3]) {
				const sent = eventTexts(1, length, event);
				for (let at = 0; at < sent.length; at++) {
					const touched = eventAt(at, event);
					for (const kind of KINDS) {
						for (const byte of kind === 'change' || kind === 'insert' ? BYTES : ['']) {
							for (const partBytes of [1, 9, 1000]) {
								const received = deliverStream({
									length, event, partBytes, spoil: (text, run) => run === 0 ? spoilBytes(text, {kind, at, byte}) : text,
								});
								const wrong = received === undefined ? [] : wrongEvents(received, {length, event, spoilt: number => number === touched});
								expect(wrong, JSON.stringify({
									length, at, kind, byte, partBytes, received,
								})).to.deep.equal([]);
							}
						}
					}
				}
			}
		});
	}

	// Guards against a spoilt event that ends the stream where other upstreams could continue it.
	it('is continued by another upstream where the blank line between two events is spoilt', () => {
		for (const at of [plainEvent(1).length - 2, plainEvent(1).length - 1]) {
			for (const kind of ['change', 'drop'] as const) {
				const received = deliverStream({length: 2, partBytes: 1000, spoil: (text, run) => run === 0 ? spoilBytes(text, {kind, at, byte: 'x'}) : text});
				expect(received).to.equal(eventTexts(1, 2));
			}
		}
	});

	// Guards against the same with a continued stream whose upstream sends a wrong byte, too.
	it('of up to 60 events, once in each of two runs, ends complete with all sound events, or is cut', () => {
		const spoilage = fc.record({kind: fc.constantFrom(...KINDS), at: fc.nat(1500), byte: fc.constantFrom(...BYTES)});
		fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.tuple(spoilage, spoilage), fc.integer({min: 1, max: 400}), (length, spoilages, partBytes) => {
			const touched = new Set<number>();
			const received = deliverStream({
				length, partBytes, spoil(text, run) {
					if (run >= spoilages.length || text.length === 0) {
						return text;
					}

					const at = spoilages[run].at % text.length;
					touched.add(eventAt(eventTexts(1, length).length - text.length + at, plainEvent));
					return spoilBytes(text, {...spoilages[run], at});
				},
			});
			expect(received === undefined ? [] : wrongEvents(received, {length, event: plainEvent, spoilt: number => touched.has(number)})).to.deep.equal([]);
		}), {seed: SEED, numRuns: 2000});
	});
});
