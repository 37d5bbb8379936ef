/**
Forwards the events of one stream to its caller. Several upstreams may run the stream, one after the other or two at a time;
the caller gets each event once.
*/
import type {ServerResponse} from 'node:http';
import {forwardedAnswerHeaders} from './answer-sinks.js';
import {EventSplitter, type EventBatch, type StreamFault} from './event-stream.js';

/** What came of a part of a run. */
export type RelayedPart = {
	/** Whether the caller got events of it. */
	readonly hasAdvanced: boolean;

	/** Whether to continue reading; false while the caller's connection applies backpressure. */
	readonly wantsMore: boolean;

	/** Why the events do not continue those that the caller has; absent if they do. */
	readonly fault?: StreamFault;
};

export type EventRelayOptions = {
	readonly response: ServerResponse;
	readonly eventNumber: (id: string) => number | undefined;

	/** Id of the last event that the caller received from an earlier stream. */
	readonly lastId: string | undefined;
	readonly mustClose: () => boolean;
};

/** The stream as one upstream sends it. */
export class EventRun {
	readonly splitter: EventSplitter;
	readonly #relay: EventRelay;

	/** Whether the caller got events of this run. */
	#hasEvents = false;

	constructor(relay: EventRelay, splitter: EventSplitter) {
		this.#relay = relay;
		this.splitter = splitter;
	}

	/**
	Why the stream is not over although the run has ended without an error; undefined if it is over.

	@param isFramed whether the answer states where it ends. Without that, the end of the connection is also what a crash of the upstream looks like.
	*/
	faultOfEnd({isFramed}: {readonly isFramed: boolean}): string | undefined {
		if (!isFramed && !this.#hasEvents) {
			return 'the stream ended before any event';
		}

		if (this.splitter.endsShort) {
			return 'the stream ended before its new events';
		}

		return this.splitter.hasPartial ? 'the stream ended in the middle of an event' : undefined;
	}

	add(chunk: Uint8Array): RelayedPart {
		const part = this.#relay.forward(this, this.splitter.push(chunk));
		this.#hasEvents ||= part.hasAdvanced;
		return part;
	}

	/** To be called when the upstream sends no more. */
	close(): void {
		this.#relay.endRun(this);
	}
}

export class EventRelay {
	readonly #options: EventRelayOptions;
	readonly #runs = new Set<EventRun>();

	/** The run that the caller gets events of, unless another one goes on first. */
	#leader: EventRun | undefined;

	/** Where the caller is in the stream. */
	#splitter: EventSplitter;
	#isContradicted = false;
	#eventCount = 0;

	constructor(options: EventRelayOptions) {
		this.#options = options;
		this.#splitter = new EventSplitter(options);
	}

	get lastId(): string | undefined {
		return this.#splitter.lastId;
	}

	get eventCount(): number {
		return this.#eventCount;
	}

	get hasStarted(): boolean {
		return this.#options.response.headersSent;
	}

	/** Whether another upstream can go on after the last event that was sent. */
	get canContinue(): boolean {
		return this.#splitter.canContinue && !this.#isContradicted;
	}

	/** Begins a run with its head. The caller gets the first head only. */
	beginRun(rawHeaders: readonly string[]): EventRun {
		const {response, mustClose} = this.#options;
		const run = new EventRun(this, this.#splitter.branch());
		if (this.#runs.size === 0) {
			this.#leader = run;
		}

		this.#runs.add(run);
		if (!response.headersSent) {
			response.writeHead(200, forwardedAnswerHeaders(rawHeaders, {withLength: false, mustClose: mustClose()}));
		}

		return run;
	}

	/** Forwards events of a run. While another run leads, only a numbered event that follows the caller's last one is forwarded, and the run leads then. */
	forward(run: EventRun, {bytes, count, fault}: EventBatch): RelayedPart {
		const {splitter} = run;
		this.#isContradicted ||= splitter.isContradicted;
		const isRival = run !== this.#leader;
		if (isRival && !splitter.canContinue) {
			return {hasAdvanced: false, wantsMore: true, fault: 'gap'};
		}

		if (count === 0 || (isRival && splitter.lastId === this.lastId)) {
			return {hasAdvanced: false, wantsMore: true, fault};
		}

		this.#leader = run;
		this.#splitter = splitter;
		this.#eventCount += count;
		return {hasAdvanced: true, wantsMore: this.#options.response.write(bytes), fault};
	}

	endRun(run: EventRun): void {
		this.#runs.delete(run);
		if (run === this.#leader) {
			[this.#leader] = this.#runs;
		}
	}

	end(): void {
		this.#options.response.end();
	}
}
