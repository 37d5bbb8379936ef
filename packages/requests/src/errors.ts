/** Failures of requests, as reported to callers. */
import {TypedError} from '@yuccawood/common';

/** Whether a failed request was run. */
export type ExecutionOutcome = 'not-run' | 'completed' | 'unknown';

/**
Why a request failed.

- `malformed`, `headers-too-large`, `body-too-large`, `no-route`, `unknown-model`, `unauthorized`, `key-reused`: the caller has to change the request.
- `rate-limited`, `overloaded`, `leaving`, `no-agent`, `claims-unavailable`: the request could not be accepted now; the caller may retry later.
- `wrong-incarnation`, `wrong-version`, `tombstone`, `suspect-running`, `upstream-down`: an agent rejected the request.
- `quarantined`: several deaths of upstreams are attributed to the request.
- `deadline`, `path-failed`, `upstream-failed`, `unverified`: the request was forwarded and failed; `outcome` says whether it was run.
- `already-running`, `answer-lost`: a request with the same idempotency key is running, or a completed request's answer is no longer kept.
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

	/** Seconds after which the caller may retry. */
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
