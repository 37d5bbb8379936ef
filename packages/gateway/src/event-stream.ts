/** Cuts the bytes of a server-sent event stream into whole events and numbers them. */
import {Buffer} from 'node:buffer';
import {MAX_BYTES_WITHOUT_EVENT} from './constants.js';

export type EventBatch = {
	/** Whole events, as the upstream sent them, without those that the caller has. */
	readonly bytes: Uint8Array;

	/** Events in the bytes. */
	readonly count: number;
};

/** Why a stream cannot go on: events are missing, or its bytes bring no new event. */
export type StreamFault = 'gap' | 'no-event';

const EVENT_END = '\n\n';

export class EventSplitter {
	readonly #eventNumber: (id: string) => number | undefined;

	/** Parts of an event that has not ended. */
	#partial: string[] = [];

	#partialBytes = 0;

	/** Bytes of whole events since the last numbered one that the caller did not have. */
	#bytesSinceNewEvent = 0;
	#lastId: string | undefined;
	#lastNumber: number | undefined;

	constructor({eventNumber, lastId}: {
		readonly eventNumber: (id: string) => number | undefined;

		/** Last event that the caller has from an earlier stream. */
		readonly lastId?: string;
	}) {
		this.#eventNumber = eventNumber;
		this.#lastId = lastId;
		this.#lastNumber = lastId === undefined ? undefined : eventNumber(lastId);
	}

	/** Id of the last whole event. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whether an event has begun and not ended. */
	get hasPartial(): boolean {
		return this.#partialBytes > 0;
	}

	/** Drops a half event, because the stream goes on at another upstream. */
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
