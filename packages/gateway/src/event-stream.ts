/** Splits the bytes of a server-sent event stream into complete events, and drops events that the caller has already received. */
import {Buffer} from 'node:buffer';
import {MAX_BYTES_WITHOUT_EVENT} from './constants.js';
import {hasData, isJoined, readEventId} from './event-lines.js';

export type EventBatch = {
	/** Complete events as the upstream sent them, without those that the caller has already. */
	readonly bytes: Uint8Array;

	/** Number of events in the bytes. */
	readonly count: number;

	/** Why the stream cannot continue after these events; absent if it can. */
	readonly fault?: StreamFault;
};

/** An event does not follow the one before it, has no number or is two events joined, or {@link MAX_BYTES_WITHOUT_EVENT} contained no new event. */
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

	/** Number of the last event of the present run, also of one that the caller has already. */
	#runNumber: number | undefined;

	/** Text of that event. */
	#runText: string | undefined;

	/** Whether the caller has data after the last event with a number, so that nothing tells up to where it has the stream. */
	#hasUnnumberedData = false;

	/** Whether two events in a row, or an earlier stream, bear out the last number. */
	#isLastNumberCertain: boolean;
	#isContradicted = false;

	constructor({eventNumber, lastId}: {
		readonly eventNumber: (id: string) => number | undefined;

		/** Id of the last event that the caller received from an earlier stream. */
		readonly lastId?: string;
	}) {
		this.#eventNumber = eventNumber;
		this.#lastId = lastId;
		this.#lastNumber = lastId === undefined ? undefined : eventNumber(lastId);
		this.#isLastNumberCertain = this.#lastNumber !== undefined;
	}

	/** Id of the last complete event that has a number. */
	get lastId(): string | undefined {
		return this.#lastId;
	}

	/** Whether an event is incomplete. */
	get hasPartial(): boolean {
		return this.#partialBytes > 0;
	}

	/**
	Whether the stream can be continued after the last event. It can't if that one has no number, or if the second event
	contradicts the first: either may have a wrong digit.
	*/
	get canContinue(): boolean {
		return !this.#isContradicted && !this.#hasUnnumberedData;
	}

	/**
	Whether the run stopped among events that the caller has already, or had no event that bears out the number after which it was
	to go on: a number that is too high leaves an upstream nothing to send.
	*/
	get endsShort(): boolean {
		if (this.#lastNumber === undefined) {
			return false;
		}

		return this.#runNumber === undefined ? !this.#isLastNumberCertain : this.#runNumber < this.#lastNumber;
	}

	/** Whether two events in a row contradicted each other, so that either may have a wrong number. */
	get isContradicted(): boolean {
		return this.#isContradicted;
	}

	/** A splitter for another run of the same stream, whose caller has the events up to now. */
	branch(): EventSplitter {
		const branch = new EventSplitter({eventNumber: this.#eventNumber, lastId: this.#lastId});
		branch.#isLastNumberCertain = this.#isLastNumberCertain;
		branch.#isContradicted = this.#isContradicted;
		branch.#hasUnnumberedData = this.#hasUnnumberedData;
		return branch;
	}

	/** Begins another run, and drops an incomplete event of the one before. */
	beginRun(): void {
		this.#runNumber = undefined;
		this.#runText = undefined;
		this.#partial = [];
		this.#partialBytes = 0;
		this.#bytesSinceNewEvent = 0;
	}

	push(chunk: Uint8Array): EventBatch {
		const added = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).toString('latin1');
		if (!((this.#partial.at(-1)?.at(-1) ?? '') + added).includes(EVENT_END)) {
			this.#partial.push(added);
			this.#partialBytes += added.length;
			return {bytes: new Uint8Array(0), count: 0, ...this.#faultOfSize};
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
				return {bytes: Buffer.from(accepted, 'latin1'), count, fault: 'gap'};
			}

			if (verdict === 'new') {
				accepted += event + EVENT_END;
				count++;
			}
		}

		return {bytes: Buffer.from(accepted, 'latin1'), count, ...this.#faultOfSize};
	}

	get #faultOfSize(): Pick<EventBatch, 'fault'> {
		return this.#partialBytes + this.#bytesSinceNewEvent > MAX_BYTES_WITHOUT_EVENT ? {fault: 'no-event'} : {};
	}

	/**
	Within a run, each number is one higher than the one before it. The first number of a run that continues a stream is at most
	one higher than the caller's last.
	*/
	#classify(event: string): 'new' | 'known' | 'gap' {
		if (isJoined(event, this.#eventNumber)) {
			return 'gap';
		}

		const id = readEventId(event);
		const number = id === undefined ? undefined : this.#eventNumber(id);
		if (id === undefined || number === undefined) {
			if (!hasData(event)) {
				return 'new';
			}

			if (this.#runNumber !== undefined) {
				return 'gap';
			}

			this.#hasUnnumberedData = true;
			return 'new';
		}

		// The same bytes again are a repetition, which says nothing against the number.
		if (event === this.#runText) {
			return 'known';
		}

		const isInOrder = this.#runNumber === undefined
			? this.#lastNumber === undefined || number <= this.#lastNumber + 1
			: number === this.#runNumber + 1;
		if (!isInOrder) {
			this.#isContradicted ||= !this.#isLastNumberCertain;
			return 'gap';
		}

		this.#isLastNumberCertain ||= this.#runNumber !== undefined;
		this.#runNumber = number;
		this.#runText = event;
		if (this.#lastNumber !== undefined && number <= this.#lastNumber) {
			return 'known';
		}

		this.#hasUnnumberedData = false;
		this.#lastId = id;
		this.#lastNumber = number;
		this.#bytesSinceNewEvent = 0;
		return 'new';
	}
}
