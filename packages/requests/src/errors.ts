/** Failures of requests as callers see them. */
import {TypedError} from '@yuccawood/common';

/** What is known about the execution of a request that got no answer of its own. */
export type ExecutionOutcome = 'not-run' | 'completed' | 'unknown';

/**
Why a request failed.

- `malformed`, `headers-too-large`, `body-too-large`, `no-route`, `unknown-model`, `unauthorized`, `key-reused`: the caller has to change the request.
- `rate-limited`, `overloaded`, `leaving`, `no-agent`, `claims-unavailable`: nothing was run; the caller may send it again later.
- `wrong-incarnation`, `wrong-version`, `tombstone`, `suspect-running`, `upstream-down`: an agent refused the request.
- `quarantined`: the request has brought upstreams down.
- `deadline`, `path-failed`, `upstream-failed`, `unverified`: the request failed on its way; the outcome says what is known.
- `already-running`, `answer-lost`: an earlier request with the same idempotency key is running or its answer is gone.
*/
export type RequestErrorKind =
	'malformed' | 'headers-too-large' | 'body-too-large' | 'no-route' | 'unknown-model' | 'unauthorized' | 'key-reused'
	| 'rate-limited' | 'overloaded' | 'leaving' | 'no-agent' | 'claims-unavailable'
	| 'wrong-incarnation' | 'wrong-version' | 'tombstone' | 'suspect-running' | 'upstream-down'
	| 'quarantined' | 'deadline' | 'path-failed' | 'upstream-failed' | 'unverified' | 'already-running' | 'answer-lost';

const STATUS: Readonly<Record<RequestErrorKind, number>> = {
	malformed: 400,
	'headers-too-large': 431,
	'body-too-large': 413,
	'no-route': 404,
	'unknown-model': 404,
	unauthorized: 401,
	'key-reused': 422,
	'rate-limited': 429,
	overloaded: 503,
	leaving: 503,
	'no-agent': 503,
	'claims-unavailable': 503,
	'wrong-incarnation': 409,
	'wrong-version': 409,
	tombstone: 409,
	'suspect-running': 503,
	'upstream-down': 503,
	quarantined: 422,
	deadline: 504,
	'path-failed': 502,
	'upstream-failed': 502,
	unverified: 502,
	'already-running': 409,
	'answer-lost': 409,
};

export class RequestError extends TypedError<RequestErrorKind> {
	readonly outcome: ExecutionOutcome;
	readonly detail: string;

	/** Seconds after which the caller may try again. */
	readonly retryAfterSeconds: number | undefined;

	constructor({kind, detail, remedy, outcome = 'not-run', retryAfterSeconds, cause}: {
		readonly kind: RequestErrorKind;
		readonly detail: string;
		readonly remedy: string;
		readonly outcome?: ExecutionOutcome;
		readonly retryAfterSeconds?: number;
		readonly cause?: unknown;
	}) {
		super({
			kind, detail, remedy, cause,
		});
		this.name = 'RequestError';
		this.detail = detail;
		this.outcome = outcome;
		this.retryAfterSeconds = retryAfterSeconds;
	}

	/** HTTP status for the caller. */
	get status(): number {
		return STATUS[this.kind];
	}
}
