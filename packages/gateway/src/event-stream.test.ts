import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {MAX_BYTES_WITHOUT_EVENT} from './constants.js';
import {EventSplitter} from './event-stream.js';

const create = (lastId?: string): EventSplitter => new EventSplitter({eventNumber: Number, lastId});

/** Feeds a text in parts of the size given. @returns what was passed on, or the fault */
const feed = (splitter: EventSplitter, text: string, partBytes: number): string => {
	let passed = '';
	for (let at = 0; at < text.length; at += partBytes) {
		const batch = splitter.push(Buffer.from(text.slice(at, at + partBytes), 'latin1'));
		if (typeof batch === 'string') {
			return batch;
		}

		passed += new TextDecoder('latin1').decode(batch.bytes);
	}

	return passed;
};

const events = (from: number, to: number): string => Array.from({length: to - from + 1}, (_, index) => `id: ${from + index}\ndata: x\n\n`).join('');

describe('EventSplitter', () => {
	it('passes the same events on however their bytes are cut', () => {
		for (const partBytes of [1, 2, 3, 7, 1000]) {
			const splitter = create();
			expect(feed(splitter, events(1, 40), partBytes)).to.equal(events(1, 40));
			expect(splitter.hasPartial).to.equal(false);
		}
	});

	it('passes over a repeated beginning that is as long as a stream may be', () => {
		const splitter = create('4000');
		expect(feed(splitter, events(1, 4002), 1000)).to.equal(events(4001, 4002));
	});

	it('takes no more of an event without end, also when each byte comes alone', () => {
		const text = `${events(1, 1)}${'x'.repeat(MAX_BYTES_WITHOUT_EVENT + 100)}`;
		expect(feed(create(), text, 1)).to.equal('no-event');
		expect(feed(create(), text, 60_000)).to.equal('no-event');
	});

	it('lets a stream last as long as its events go on', () => {
		const splitter = create();
		expect(feed(splitter, events(1, 100_000), 60_000)).to.have.length.greaterThan(MAX_BYTES_WITHOUT_EVENT * 4);
		expect(splitter.lastId).to.equal('100000');
	});
});
