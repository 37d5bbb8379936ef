/** What a run of one request at the upstream works on and how it ends. */
import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import type {RequestError} from './errors.js';
import type {ExchangeRequest} from './exchange.js';
import type {VersionCheck} from './engine-response.js';
import type {ForwardedHead} from './forwarded-head.js';
import type {RequestRecord, RequestRecords} from './request-records.js';

/** One request that the agent took. */
export type Job = {
	readonly head: ForwardedHead;
	readonly request: ExchangeRequest;
	readonly response: ServerResponse;
	readonly record: RequestRecord;

	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;

	/** Headers that identify the response to the entry, as names and values in turn. */
	readonly identityHeaders: () => readonly string[];
};

/** What all runs of an upstream share. */
export type RunEnvironment = {
	readonly kind: 'engine' | 'service';
	readonly records: RequestRecords;
	readonly isVerified: VersionCheck;
	readonly now: () => number;
	readonly onFirstByte: (milliseconds: number) => void;
	readonly onBytes: (bytes: number) => void;

	/** Finds out why a connection carries no data. */
	readonly diagnoseSilence: (head: ForwardedHead, hasHead: boolean) => Promise<SilenceAction>;

	/** Starts new connections to the upstream. */
	readonly replaceConnections: () => Dispatcher;
};

/** Whether to wait for a slow upstream, to send the request again over a new connection, or to give it up. */
export type SilenceAction = 'wait' | 'hedge' | 'fail';

/** How a run ended: the answer was passed on or kept, the caller gave up, or it failed. */
export type RunResult = {readonly kind: 'completed' | 'cancelled'} | {readonly kind: 'failed'; readonly error: RequestError; readonly isConnectionBroken: boolean};
