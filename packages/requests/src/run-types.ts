/** Inputs and results of running one request at the upstream. */
import type {ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import type {RequestError} from './errors.js';
import type {ExchangeRequest} from './exchange.js';
import type {VersionCheck} from './engine-response.js';
import type {ForwardedHead} from './forwarded-head.js';
import type {RequestRecord, RequestRecords} from './request-records.js';

/** One request that the agent accepted. */
export type Job = {
	readonly head: ForwardedHead;
	readonly request: ExchangeRequest;
	readonly response: ServerResponse;
	readonly record: RequestRecord;

	/** Monotonic time in milliseconds. */
	readonly deadlineAt: number;

	/** Headers by which the entry verifies the response; names and values alternate. */
	readonly identityHeaders: () => readonly string[];
};

/** Shared by all requests at an upstream. */
export type RunEnvironment = {
	readonly kind: 'engine' | 'service';
	readonly records: RequestRecords;
	readonly isVerified: VersionCheck;

	/** Monotonic time in milliseconds. */
	readonly now: () => number;

	/** Called with the time from the start of the request to the response headers. */
	readonly onResponseHead: (milliseconds: number) => void;

	/** Called with the size of each part of a response. */
	readonly onBytes: (bytes: number) => void;

	/** Decides what to do about a request whose connection carries no data. `hasHead`: the response headers have arrived. */
	readonly diagnoseSilence: (head: ForwardedHead, hasHead: boolean) => Promise<SilenceAction>;

	/** Directs further requests to new connections. @returns the dispatcher for them. */
	readonly replaceConnections: () => Dispatcher;
};

/** Wait for a slow upstream (`wait`), also send the request over a new connection (`hedge`), or end it as failed (`fail`). */
export type SilenceAction = 'wait' | 'hedge' | 'fail';

/** How a request ended at the upstream: answered in full (`completed`), its entry disconnected (`cancelled`), or failed. */
export type RunResult = {readonly kind: 'completed' | 'cancelled'} | {readonly kind: 'failed'; readonly error: RequestError; readonly isConnectionBroken: boolean};
