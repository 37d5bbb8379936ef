/** Read-only views that decisions are made from. Ages and waits are in milliseconds. */
import type {RouteKind} from '@yuccawood/fleet';

/** One upstream as an entry sees it at the moment of a decision. */
export type UpstreamView = {
	readonly key: string;
	readonly failureDomain: string;

	/** Among the upstreams that this entry uses in the first place, and gets reports of. */
	readonly isNear: boolean;

	/** Requests that it runs at the same time. */
	readonly slots: number;
	readonly isLeaving: boolean;

	/** Requests of this entry that have no final answer yet. */
	readonly ownRequests: number;

	/** Requests of all entries, as the upstream last told. */
	readonly reportedRequests: number | undefined;
	readonly reportAgeMs: number;

	/** Requests that this entry sent since the report, less those that ended since. */
	readonly ownSinceReport: number;

	/** Above 1 when the upstream works slower than its peers. */
	readonly pace: number;
	readonly heldVersion: number | undefined;

	/** Loads weights now or is about to, and accepts nothing new meanwhile. */
	readonly isSwitching: boolean;

	/** Recent time from a send to the first data; nothing when there was none lately. */
	readonly startMs: number | undefined;

	/** Time since the oldest send that has had no data; 0 when there is none. */
	readonly silentMs: number;

	/** Prompt tokens of this entry's sends that have had no data yet: the engine reads them before a new prompt. */
	readonly unreadTokens: number;

	/** Excluded because of its recent failures. */
	readonly isSuspended: boolean;

	/** Suspended before and due for a single trial request. */
	readonly isOnTrial: boolean;
};

/** What a request needs of an upstream. */
export type PlacementNeed = {
	readonly failureDomain: string;

	/** Upstreams that have had this request already. */
	readonly excluded: ReadonlySet<string>;

	/** Oldest version of the weights that may answer; nothing for services without weights. */
	readonly oldestVersion: number | undefined;

	/** Oldest version that may answer shortly; upstreams on an older one must not get a queue. */
	readonly soonOldestVersion: number | undefined;

	/** Usual time from a send to the first data of the service's upstreams. */
	readonly usualStartMs: number;

	/** Whether an earlier send failed, so that an upstream that answered lately goes before one that nothing is known of. */
	readonly isRepeat: boolean;

	/** Whether the service has weights, so that an upstream without any cannot answer. */
	readonly needsWeights: boolean;
};

export type Placement =
	{readonly kind: 'send'; readonly key: string; readonly load: number; readonly reason: 'free' | 'trial'}
	| {readonly kind: 'busy'; readonly usable: number; readonly reason: 'all-places-taken'}
	| {
		readonly kind: 'unavailable';
		readonly reason: 'no-upstream' | 'no-version' | 'all-tried';

		/** Whether some upstream loads weights now, so that a short wait may be enough. */
		readonly isLoading: boolean;
	};

/** How a request that waits or comes back stands at the moment of a decision. */
export type WaitingNeed = {
	/** Whether some upstream could serve the request if it had a free place. */
	readonly isServed: boolean;

	/** Time until the goal can no longer be met; at most 0 when it is missed already. */
	readonly slackMs: number;

	/** Time until the caller or the route gives the request up. */
	readonly remainingMs: number;

	/** Requests before this one in its queue. */
	readonly ahead: number;

	/** Places that become free per second for this entry; 0 when unknown. */
	readonly drainPerSecond: number;
};

export type Admission =
	{readonly kind: 'wait'; readonly forMs: number; readonly reason: 'within-goal' | 'late-but-likely'}
	| {readonly kind: 'reject'; readonly retryAfterMs: number; readonly reason: 'queue-too-long' | 'no-time-left'};

/** What is known after a request was sent to an upstream without a complete answer. */
export type SendFailure =
	/** The connection was never made, or the request never written. */
	'not-sent'
	/** The upstream stated that it did not run the request. */
	| 'not-run'
	/** It may have run: reset, timeout, wrong bytes, truncated answer. */
	| 'unknown'
	/** The upstream ran it and answered with an error of its own. */
	| 'answered-error';

export type ResendNeed = {
	readonly kind: RouteKind;
	readonly isResumable: boolean;
	readonly failure: SendFailure;

	/** Sends that may have run so far, this one included. */
	readonly runs: number;

	/** Sends of any outcome so far. */
	readonly sends: number;

	/** Most upstreams that may run the request. */
	readonly attempts: number;
	readonly remainingMs: number;
	readonly hasBudget: boolean;
};

export type Resend =
	{readonly kind: 'resend'; readonly usesBudget: boolean}
	| {readonly kind: 'give-up'; readonly reason: 'not-repeatable' | 'attempts-used' | 'no-budget' | 'no-time' | 'sends-used'};
