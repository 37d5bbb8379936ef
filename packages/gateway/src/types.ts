import type {IncomingHttpHeaders} from 'node:http';

/** Values read from the headers of a caller's request. */
export type CallerHeaders = {
	/** Id of the caller's attempt, which answers repeat. */
	readonly requestId: string | undefined;

	/** Time for which the caller will still wait, in milliseconds. */
	readonly remainingMs: number | undefined;

	/** API key of a client account. */
	readonly key: string | undefined;

	/** Id of the last event that the caller received of an interrupted stream. */
	readonly lastEventId: string | undefined;

	/** Number of tokens of the prompt, and the largest one of the answer. */
	readonly promptTokens: number | undefined;
	readonly answerTokens: number | undefined;

	/** Ids of the parts of the prompt that other requests may share, from the first on. */
	readonly sharedParts: readonly string[];
};

/** Values of the headers that the gateway adds to a forwarded request. */
export type ForwardedHeaders = {
	readonly upstreamId: string;
	readonly account: string | undefined;
	readonly remainingMs: number;
	readonly lastEventId: string | undefined;

	/** Version that the upstream has to hold. An upstream on another version refuses the request. */
	readonly expectedVersion: number | undefined;
};

/** Numbers of requests and slots that an upstream reports with an answer. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;

	/** Multiple of the usual time that work takes there at this moment; undefined if the upstream does not say. */
	readonly pace?: number;
};

/** Values read from the headers of an upstream's answer. */
export type AnswerHeaders = {
	/** Id of the request that the answer belongs to, if stated. */
	readonly requestId: string | undefined;

	/** Whether the upstream states that it did not run the request. */
	readonly isNotRun: boolean;

	/** Whether the request reached a different upstream than the intended one, or one without the expected version. It was not run, and a retry there would fail, too. */
	readonly isMisdirected: boolean;
	readonly load: ReportedLoad | undefined;
	readonly version: number | undefined;

	/** Whether the upstream states that it is about to end. */
	readonly isLeaving: boolean;

	/** Time in milliseconds for which the upstream wants no more requests from this entry; undefined if it states none. */
	readonly refusesForMs: number | undefined;
};

/** Reads and writes the HTTP headers of the platform's protocol. */
export interface HeaderCodec {
	readonly readCallerHeaders: (headers: IncomingHttpHeaders) => CallerHeaders;

	/** Headers to forward: the caller's, without hop-by-hop headers and those that the gateway sets itself, plus the gateway's. */
	readonly forwardedRequestHeaders: (rawHeaders: readonly string[], head: ForwardedHeaders) => string[];
	readonly readAnswerHeaders: (headers: Readonly<Record<string, string | readonly string[] | undefined>>, status: number) => AnswerHeaders;

	/** Headers of a refusal that state after which time to retry. */
	readonly retryAfterHeaders: (milliseconds: number) => readonly string[];

	/** Number of an event, parsed from its `id` field; undefined if the id holds no number. */
	readonly parseEventNumber: (id: string) => number | undefined;
}

/** Error answer made by the gateway itself. */
export type GatewayAnswer = {
	readonly status: 400 | 401 | 404 | 408 | 413 | 502 | 503 | 504;
	readonly outcome: 'not-run' | 'unknown';
	readonly reason: string;
	readonly retryAfterMs?: number;
};
