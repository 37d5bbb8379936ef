/** Delivers a stream of which parts are spoilt, as an entry does that lets other upstreams continue it. */
import {Buffer} from 'node:buffer';
import {EventSplitter} from '../event-stream.js';

/** Text of the event with this number. */
export type EventText = (number: number) => string;

export const plainEvent: EventText = number => `id: ${number}\ndata: event ${number}\n\n`;

export const eventTexts = (from: number, to: number, event: EventText = plainEvent): string => Array.from({length: Math.max(0, to - from + 1)}, (_, index) => event(from + index)).join('');

/** What a caller has after a run, and what follows from it. */
export type Outcome = {readonly received: string; readonly isBroken: boolean; readonly canContinue: boolean; readonly lastId: string | undefined};

/** Feeds the bytes of one run, in parts of the given size, until a fault or the end. */
export const feedRun = (splitter: EventSplitter, text: string, partBytes: number): Outcome => {
	splitter.beginRun();
	let received = '';
	let isBroken = false;
	for (let at = 0; at < text.length && !isBroken; at += partBytes) {
		const {bytes, fault} = splitter.push(Buffer.from(text.slice(at, at + partBytes), 'latin1'));
		received += Buffer.from(bytes).toString('latin1');
		isBroken = fault !== undefined;
	}

	return {
		received, isBroken: isBroken || splitter.hasPartial || splitter.endsShort, canContinue: splitter.canContinue, lastId: splitter.lastId,
	};
};

export type Delivery = {
	/** Number of events of the whole stream. */
	readonly length: number;
	readonly partBytes: number;
	readonly event?: EventText;

	/** Changes what the upstream of one run sends. The first run has the number 0. */
	readonly spoil: (sent: string, run: number) => string;
};

const MAX_RUNS = 4;

/** Lets other upstreams continue the stream until it ends as complete or is cut. @returns what the caller has; undefined if it was cut */
export const deliverStream = ({length, partBytes, event = plainEvent, spoil}: Delivery): string | undefined => {
	const splitter = new EventSplitter({eventNumber: text => /^\d+$/u.test(text) ? Number(text) : undefined});
	let received = '';
	for (let run = 0; run < MAX_RUNS; run++) {
		const outcome = feedRun(splitter, spoil(eventTexts(Number(splitter.lastId ?? 0) + 1, length, event), run), partBytes);
		received += outcome.received;
		if (!outcome.isBroken) {
			return received;
		}

		if (!outcome.canContinue) {
			return undefined;
		}
	}

	return undefined;
};
