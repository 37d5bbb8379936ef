/** Cuts the bytes of a server-sent event stream into whole events and numbers them. */
import {Buffer} from 'node:buffer';

export type EventBatch = {
	/** Whole events, as the upstream sent them, without those that the caller has. */
	readonly bytes: Uint8Array;

	/** Events in the bytes. */
	readonly count: number;
};

const EVENT_END = '\n\n';

export class EventSplitter {
	readonly #eventNumber: (id: string) => number | undefined;
	#partial = '';
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
		return this.#partial.length > 0;
	}

	/** Drops a half event, because the stream goes on at another upstream. */
	dropPartial(): void {
		this.#partial = '';
	}

	/** @returns the whole events, or nothing when the sequence has a gap. */
	push(chunk: Uint8Array): EventBatch | undefined {
		const text = this.#partial + Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).toString('latin1');
		const end = text.lastIndexOf(EVENT_END);
		if (end === -1) {
			this.#partial = text;
			return {bytes: new Uint8Array(0), count: 0};
		}

		this.#partial = text.slice(end + EVENT_END.length);
		let accepted = '';
		let count = 0;
		for (const event of text.slice(0, end).split(EVENT_END)) {
			const verdict = this.#take(event);
			if (verdict === 'gap') {
				return undefined;
			}

			if (verdict === 'new') {
				accepted += event + EVENT_END;
				count++;
			}
		}

		return {bytes: Buffer.from(accepted, 'latin1'), count};
	}

	#take(event: string): 'new' | 'known' | 'gap' {
		const id = readId(event);
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
		return 'new';
	}
}

const readId = (event: string): string | undefined => {
	const start = event.startsWith('id:') ? 0 : event.indexOf('\nid:') + 1;
	if (start === 0 && !event.startsWith('id:')) {
		return undefined;
	}

	const end = event.indexOf('\n', start);
	return event.slice(start + 3, end === -1 ? undefined : end).trim();
};
