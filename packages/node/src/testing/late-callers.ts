/** Callers that send requests late in the grace of a stopping entry, each on a connection that is in use until then. */
import {SystemClock} from '@yuccawood/common';
import type {EntryFleet} from './entry-fleet.js';
import {KeptCaller, type Call, type Outcome} from './kept-caller.js';

const clock = new SystemClock();

export type LateCall = Pick<Call, 'path' | 'remainingMs' | 'tokens'>;

export type LateCallersOptions = {
	readonly ip: string;

	/** Ids of the requests that upstreams got. */
	readonly seen: ReadonlySet<string>;

	/** Path of streams that keep the connections in use, without the time that they take: a number of milliseconds is appended. */
	readonly earlierPath: string;
	readonly timeoutMs: number;
};

export class LateCallers {
	readonly #options: LateCallersOptions;
	readonly #callers: KeptCaller[] = [];

	constructor(options: LateCallersOptions) {
		this.#options = options;
	}

	connect(): KeptCaller {
		const caller = new KeptCaller(this.#options.ip);
		this.#callers.push(caller);
		return caller;
	}

	/** Stops the entry, and sends each of the calls at each of these times after SIGTERM. */
	async stopAndCall(fleet: EntryFleet, calls: readonly LateCall[], sentAfterMs: readonly number[]): Promise<readonly Outcome[]> {
		const {ip, seen} = this.#options;
		const seenBefore = seen.size;
		const outcomes = sentAfterMs.flatMap(afterMs => calls.map(async call => this.#callLate(afterMs, call)));
		// The head of an answer that begins later tells the caller to open a new connection.
		while (seen.size < seenBefore + outcomes.length) {
			await clock.sleep(10);
		}

		await clock.sleep(100);
		fleet.stop(ip);
		return Promise.all(outcomes);
	}

	/** Requests that were passed on and have no complete answer. */
	cut(outcomes: readonly Outcome[]): readonly string[] {
		return outcomes.filter(({id, isComplete}) => this.#options.seen.has(id) && !isComplete).map(({id, tookMs}) => `${id}: cut after ${Math.round(tookMs)} ms`);
	}

	close(): void {
		for (const caller of this.#callers) {
			caller.close();
		}
	}

	async #callLate(afterMs: number, call: LateCall): Promise<Outcome> {
		const {earlierPath, timeoutMs} = this.#options;
		const caller = this.connect();
		await caller.call({id: `earlier-${afterMs}-${call.path}`, path: `${earlierPath}${afterMs}`, remainingMs: timeoutMs});
		return caller.call({...call, id: `late-${afterMs}-${call.path}`});
	}
}
