import type {IncomingHttpHeaders} from 'node:http';

/** What a caller's headers say. */
export type CallerHead = {
	/** Id of this attempt of the caller; answers echo it. */
	readonly requestId: string | undefined;

	/** Time that the caller will wait, in milliseconds. */
	readonly remainingMs: number | undefined;

	/** Key of a client account. */
	readonly key: string | undefined;

	/** Last event that the caller of a broken stream has. */
	readonly lastEventId: string | undefined;

	/** Tokens of the prompt, for a model. */
	readonly promptTokens: number | undefined;
};

/** Headers that the gateway adds for an upstream. */
export type ForwardedHead = {
	readonly upstreamId: string;
	readonly account: string | undefined;
	readonly remainingMs: number;
	readonly lastEventId: string | undefined;

	/** Makes an upstream on another version refuse the request. */
	readonly expectedVersion: number | undefined;
};

/** Load as an upstream tells it with an answer. */
export type AnsweredLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

/** What the headers of an upstream's answer say. */
export type AnswerHead = {
	/** Request that the answer belongs to, if told. */
	readonly requestId: string | undefined;

	/** The upstream states that it did not run the request. */
	readonly isNotRun: boolean;

	/** The upstream is not the one that was meant, or does not hold the version: it ran nothing, and will not run such a request. */
	readonly isMisdirected: boolean;
	readonly load: AnsweredLoad | undefined;
	readonly version: number | undefined;
};

/** Translates between the headers on the wire and what they mean. */
export interface HeaderCodec {
	readonly readCaller: (headers: IncomingHttpHeaders) => CallerHead;

	/** Headers to forward: the caller's, without those of one connection and those that the gateway sets, plus its own. */
	readonly forward: (rawHeaders: readonly string[], head: ForwardedHead) => string[];
	readonly readAnswer: (headers: Readonly<Record<string, string | readonly string[] | undefined>>, status: number) => AnswerHead;

	/** Headers of a refusal that tells the caller when to come back. */
	readonly retryAfter: (milliseconds: number) => readonly string[];

	/** Number of an event, from the text of its `id` field; nothing if it has none. */
	readonly eventNumber: (id: string) => number | undefined;
}

/** Answer that the gateway gives itself. */
export type GatewayAnswer = {
	readonly status: 400 | 401 | 404 | 408 | 413 | 502 | 503 | 504;
	readonly outcome: 'not-run' | 'unknown';
	readonly reason: string;
	readonly retryAfterMs?: number;
};
