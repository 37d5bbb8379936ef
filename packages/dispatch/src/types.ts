/** Inputs and results of dispatch decisions. Durations are in milliseconds. */
import type {RouteKind} from '@yuccawood/fleet';
import type {UnconfirmedSends} from './sends-under-way.js';

/** State of one upstream as an entry knows it at the moment of a decision. */
export type UpstreamView = {
	readonly key: string;
	readonly failureDomain: string;

	/** Whether it belongs to this entry's subset: upstreams that the entry prefers and whose reports it receives. */
	readonly isInSubset: boolean;

	/** Number of requests that it runs at the same time. */
	readonly slots: number;
	readonly isLeaving: boolean;

	/** Time for which it wants no requests, as it said in a refusal; 0 if it takes them. */
	readonly refusesForMs: number;

	/** Requests of this entry that have no final response yet. */
	readonly ownRequests: number;

	/** Largest number of connections from this entry, each of which carries one request at a time. */
	readonly maxConnections: number;

	/** Requests of all entries according to the upstream's last report. */
	readonly reportedRequests: number | undefined;
	readonly reportAgeMs: number;

	/** Requests that this entry sent since that report, minus those that ended since. */
	readonly ownSinceReport: number;

	/** Number of entries, including this one, that are expected to send to it as this entry does. */
	readonly sharingEntries: number;

	/** Slowness relative to other upstreams of the service; above 1 when slower. */
	readonly pace: number;
	readonly heldVersion: number | undefined;

	/** It loads weights or is about to, and accepts no new requests meanwhile. */
	readonly isSwitching: boolean;

	/** Recent time from a send to the first byte of the response; undefined without a recent response. */
	readonly startMs: number | undefined;

	/** Time since the oldest send that has no response data yet; 0 when there is none. */
	readonly unansweredMs: number;

	/** Prompt tokens of this entry's sends without response data. The engine reads them before the prompt of a new request. */
	readonly unreadTokens: number;

	/** What was written for it and has not been shown to have arrived. */
	readonly underWay: UnconfirmedSends;

	/** Excluded because of recent failures. */
	readonly isSuspended: boolean;

	/** Its suspension is over and it may get a single trial request. */
	readonly isDueForTrial: boolean;
};

/** Requirements of a request on its upstream. */
export type PlacementRequirements = {
	readonly failureDomain: string;

	/** Failure domains in which the request may be served; absent if in all. */
	readonly allowedDomains?: ReadonlySet<string>;

	/** Keys of upstreams to which this request was already sent. */
	readonly excludedKeys: ReadonlySet<string>;

	/** Keys of upstreams that are left to requests with longer prompts, which wait until they can be read there; absent if none are. */
	readonly claimedKeys?: ReadonlySet<string>;

	/** Oldest version of the weights that may answer; undefined when every version may. */
	readonly oldestVersion: number | undefined;

	/** Oldest version that may answer a short time from now. No queue may build up at upstreams on an older one. */
	readonly oldestVersionSoon: number | undefined;

	/** Oldest version that may answer when a request may have been delayed on its way for some seconds. */
	readonly oldestVersionOnSlowPath?: number;

	/** Usual time from a send to the first byte at the upstreams of the service. */
	readonly usualStartMs: number;

	/** Whether an earlier send failed. Upstreams with a recent response are then preferred to those without one. */
	readonly isRetry: boolean;

	/** Whether the service has weights, so that an upstream that holds none cannot answer. */
	readonly needsWeights: boolean;

	/** Whether the latency goal has passed, so that the slot is worth more to another request. */
	readonly isLate?: boolean;

	/** Time within which a plain service should answer. Absent for engines, whose answers begin long before they end. */
	readonly answerGoalMs?: number;

	/** Longest time for which responses may have waited until this entry read them. */
	readonly readDelayMs?: number;

	/** Absent for services that read no prompts. */
	readonly reading?: PromptReading;
};

/** What decides how long an engine reads prompts before it can start a request. */
export type PromptReading = {
	/** Prompt tokens of the request. */
	readonly promptTokens: number;

	/** Prompt tokens that the engine reads per millisecond beside running requests. */
	readonly tokensPerMs: number;

	/** Longest time for which the engine may read prompts before it starts the request. */
	readonly limitMs: number;
};

/** Result of choosing an upstream. */
export type Placement =
	{readonly kind: 'send'; readonly key: string; readonly load: number; readonly reason: 'free' | 'trial'}
	| {readonly kind: 'busy'; readonly usable: number; readonly reason: 'all-places-taken'}
	/** Some have free slots, but none reads the prompt in time. A shorter one may fit. `nextKey`: upstream that will first. */
	| {readonly kind: 'busy'; readonly usable: number; readonly reason: 'prompt-too-long'; readonly nextKey: string}
	| {
		readonly kind: 'unavailable';
		readonly reason: 'no-upstream' | 'no-upstream-in-region' | 'no-version' | 'all-tried' | 'refusing' | 'silent-path';

		/** Whether some upstream is loading weights, so that a short wait may be enough. */
		readonly isLoading: boolean;

		/** Time until an upstream takes requests again; undefined if none has said so. */
		readonly availableInMs?: number;
	};

/** State of a request that has no free slot at the moment of a decision. */
export type UnplacedRequest = {
	/** Whether some upstream could serve the request if it had a free slot. */
	readonly isServable: boolean;

	/** Time until the latency goal can no longer be met; 0 or negative once it is missed. */
	readonly slackMs: number;

	/** Time until the caller's or the route's timeout. */
	readonly remainingMs: number;

	/** Time until a return of the caller can be told from a first attempt by the time that it has left. */
	readonly msUntilReturnIsRecognized: number;

	/** Number of requests before this one in the queue. */
	readonly ahead: number;

	/** Slots that become free per second for this entry; 0 when unknown. */
	readonly freedSlotsPerSecond: number;

	/** Time until an upstream takes requests again, if all refuse them until then. */
	readonly availableInMs?: number;
};

/** Whether a request is queued, and for how long at most, or rejected. */
export type Admission =
	{readonly kind: 'wait'; readonly forMs: number; readonly reason: 'within-goal' | 'late-but-likely'}
	| {readonly kind: 'reject'; readonly retryAfterMs: number; readonly reason: 'queue-too-long' | 'no-time-left' | 'refusing'};

/** Why a send brought no complete response, as far as it decides whether the request may have run. */
export type SendFailure =
	/** The connection was not established, or the request was not written to it. */
	'not-sent'
	/** The upstream stated that it did not run the request. */
	| 'not-run'
	/** The request may have run: connection reset, timeout, invalid or truncated response. */
	| 'unknown'
	/** The upstream ran the request and answered with an error. */
	| 'answered-error';

/** State of a request whose last send failed. */
export type FailedRequest = {
	readonly kind: RouteKind;
	readonly isResumable: boolean;
	readonly failure: SendFailure;

	/** Number of sends that may have run, including the failed one. */
	readonly runs: number;

	/** Number of all sends so far. */
	readonly sends: number;

	/** Largest number of upstreams that may run the request. */
	readonly attempts: number;
	readonly remainingMs: number;
	readonly hasBudget: boolean;

	/** Whether the entry gave up waiting for the upstream, which may only be busy. */
	readonly isAfterSilence?: boolean;

	/** Whether its answer broke off early, and upstreams crashed before under it or a part of its prompt, without a success since. */
	readonly isSuspect?: boolean;
};

/** Whether a failed request is retried. */
export type RetryDecision =
	{readonly kind: 'resend'; readonly usesBudget: boolean}
	| {readonly kind: 'give-up'; readonly reason: 'not-repeatable' | 'attempts-used' | 'no-budget' | 'no-time' | 'sends-used' | 'suspect'};
