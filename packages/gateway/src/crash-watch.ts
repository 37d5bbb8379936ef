/**
Detects crashes of upstreams by the connections that break, and keeps requests away that upstreams crash under.

An upstream has crashed if connections to it broke, no request that was sent to it before is still there, and no data came
from it since. What it crashed under is decided by {@link CrashReview}.
*/
import {createHash} from 'node:crypto';
import type {Clock, Log} from '@yuccawood/common';
import {WHOLE_REQUEST_DEPTH, type CrashReview, type Suspect} from '@yuccawood/crashes';
import type {AcceptedRequest} from './accepted-request.js';
import {CRASH_WINDOW_MS} from './constants.js';
import type {UpstreamSigns} from './upstream-signs.js';

/** Suspects in the log line of a crash. */
const MAX_LOGGED_SUSPECTS = 40;

/** Hash of method, path, account and body, which is the same for a later attempt of the same request. */
export const fingerprintOf = ({method, path, account, body}: Pick<AcceptedRequest, 'method' | 'path' | 'account' | 'body'>): string => {
	const digest = createHash('sha1').update(`${method} ${path} ${account ?? ''}\n`);
	if (body) {
		digest.update(body);
	}

	return digest.digest('base64url');
};

/** The shared parts of the prompt of a request, and the request as a whole. */
export const suspectsOf = (request: Pick<AcceptedRequest, 'method' | 'path' | 'account' | 'body' | 'sharedParts'>): readonly Suspect[] => [
	...request.sharedParts.map((part, index) => ({id: `part:${part}`, depth: index})),
	{id: `request:${fingerprintOf(request)}`, depth: WHOLE_REQUEST_DEPTH},
];

/** A request whose answer ended early. */
export type BrokenRequest = {
	readonly suspects: readonly Suspect[];

	/** Whether the answer certainly broke off. One without framing may also have ended as it should. */
	readonly isCertain: boolean;
};

/** Answers that ended early at one upstream within {@link CRASH_WINDOW_MS}. */
type Break = {readonly at: number; readonly requests: BrokenRequest[]};

export type CrashWatchOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly review: Pick<CrashReview, 'recordCrash'>;

	/** Undefined for an upstream that is no longer listed. */
	readonly signsOf: (upstreamKey: string) => UpstreamSigns | undefined;
};

export class CrashWatch {
	readonly #options: CrashWatchOptions;
	readonly #log: Log;
	readonly #breaks = new Map<string, Break>();

	constructor(options: CrashWatchOptions) {
		this.#options = options;
		this.#log = options.log;
	}

	/** Records that the answer to a request ended early while the upstream may have been running the request. */
	recordBrokenAnswer(upstreamKey: string, request: BrokenRequest): void {
		const known = this.#breaks.get(upstreamKey);
		if (known) {
			known.requests.push(request);
			return;
		}

		const first: Break = {at: this.#options.clock.monotonic(), requests: [request]};
		this.#breaks.set(upstreamKey, first);
		setTimeout(() => {
			this.#breaks.delete(upstreamKey);
			this.#assess(upstreamKey, first);
		}, CRASH_WINDOW_MS).unref();
	}

	#assess(upstream: string, {at, requests}: Break): void {
		if (requests.every(({isCertain}) => !isCertain)) {
			return;
		}

		const signs = this.#options.signsOf(upstream);
		const hasData = signs?.lastDataAt !== undefined && signs.lastDataAt > at;
		const hasRequests = signs?.oldestSendAt !== undefined && signs.oldestSendAt < at;
		const suspects = [...new Map(requests.flatMap(request => request.suspects.map(suspect => [suspect.id, suspect]))).values()];
		this.#log.warn(hasData || hasRequests ? 'Connections to an upstream broke, which counts as no crash.' : 'An upstream crashed.', {
			upstream, requests: requests.length, hasData, hasRequests, suspects: suspects.map(({id}) => id).slice(0, MAX_LOGGED_SUSPECTS),
		});
		if (!hasData && !hasRequests) {
			this.#options.review.recordCrash(upstream, suspects, at);
		}
	}
}
