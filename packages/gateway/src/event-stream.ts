/** Splits the bytes of a server-sent event stream into complete events, and drops events that the caller has already received. */
import {Buffer} from 'node:buffer';
import {MAX_BYTES_WITHOUT_EVENT} from './constants.js';

export type EventBatch = {
	/** Complete events as the upstream sent them, without those that the caller has already. */
	readonly bytes: Uint8Array;

	/** Number of events in the bytes. */
	readonly count: number;
};

/** Why a stream cannot continue: event numbers are missing, or {@link MAX_BYTES_WITHOUT_EVENT} contained no new event. */
export type StreamFault = 'gap' | 'no-event';

const EVENT_END = '\n\n';

export class EventSplitter {
	readonly #eventNumber: (id: string) => number | undefined;

	/** Parts of an incomplete event. */
	#partial: string[] = [];

	#partialBytes = 0;

	/** Bytes of complete events since the last new event with a number. */
	#bytesSinceNewEvent = 0;
	#lastId: string | undefined;
	#lastNumber: number | undefined;

	constructor({eventNumber, lastId}: {
		readonly eventNumber: (id: string) => number | undefined;

		/** Id of the last event that the caller received from an earlier stream. */
		readonly lastId?: string;
	}) {
		this.#eventNumber = eventNumber;
		this.#lastId = lastId;
		this.#lastNumber = lastId === undefined ? undefined : eventNumber(lastId);
	}

	/** Id of the last complete event that has a number. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whether an event is incomplete. */
	get hasPartial(): boolean {
		return this.#partialBytes > 0;
	}

	/** Drops an incomplete event, because the stream continues at another upstream. */
	dropPartial(): void {
		this.#partial = [];
		this.#partialBytes = 0;
		this.#bytesSinceNewEvent = 0;
	}

	push(chunk: Uint8Array): EventBatch | StreamFault {
		const added = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).toString('latin1');
		if (!((this.#partial.at(-1)?.at(-1) ?? '') + added).includes(EVENT_END)) {
			this.#partial.push(added);
			this.#partialBytes += added.length;
			return this.#exceedsBytesWithoutEvent ? 'no-event' : {bytes: new Uint8Array(0), count: 0};
		}

		const text = this.#partial.join('') + added;
		const end = text.lastIndexOf(EVENT_END);
		const rest = text.slice(end + EVENT_END.length);
		this.#partial = [rest];
		this.#partialBytes = rest.length;
		let accepted = '';
		let count = 0;
		for (const event of text.slice(0, end).split(EVENT_END)) {
			this.#bytesSinceNewEvent += event.length + EVENT_END.length;
			const verdict = this.#classify(event);
			if (verdict === 'gap') {
				return 'gap';
			}

			if (verdict === 'new') {
				accepted += event + EVENT_END;
				count++;
			}
		}

		return this.#exceedsBytesWithoutEvent ? 'no-event' : {bytes: Buffer.from(accepted, 'latin1'), count};
	}

	get #exceedsBytesWithoutEvent(): boolean {
		return this.#partialBytes + this.#bytesSinceNewEvent > MAX_BYTES_WITHOUT_EVENT;
	}

	#classify(event: string): 'new' | 'known' | 'gap' {
		const id = readEventId(event);
		const number = id === undefined ? undefined : this.#eventNumber(id);
		if (id === undefined || number === undefined) {
			return 'new';
		}

		if (this.#lastNumber !== undefined && number <= this.#lastNumber) {
			return 'known';
		}

		if (this.#lastNumber !== undefined && number > this.#lastNumber + 1) {
			return 'gap';
		}

		this.#lastId = id;
		this.#lastNumber = number;
		this.#bytesSinceNewEvent = 0;
		return 'new';
	}
}

const readEventId = (event: string): string | undefined => {
	const start = event.startsWith('id:') ? 0 : event.indexOf('\nid:') + 1;
	if (start === 0 && !event.startsWith('id:')) {
		return undefined;
	}

	const end = event.indexOf('\n', start);
	return event.slice(start + 3, end === -1 ? undefined : end).trim();
};
