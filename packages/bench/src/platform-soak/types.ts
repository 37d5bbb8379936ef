import type {RequestKind, RequestRun} from '@yuccawood/platform/testing';

/** A promise that was broken, with the request or process that shows it. */
export type Breach = {
	readonly promise: 'mixed' | 'order' | 'twice' | 'refused-ran' | 'unasked' | 'no-answer' | 'late-answer'
		| 'whole' | 'recover' | 'exit' | 'fault-line' | 'version' | 'drain' | 'memory' | 'endless' | 'deadly' | 'gone' | 'budget' | 'ready';
	readonly detail: string;

	/** Seconds since the start of the faults. */
	readonly at: number;
};

/** One request as its caller saw it. Times are monotonic milliseconds. */
export type Exchange = {
	readonly requestId: string;
	readonly kind: RequestKind;
	readonly entry: number;
	readonly sentAt: number;
	readonly endedAt: number;

	/** Time at which an open connection took the request; that of sending until then. */
	readonly writtenAt: number;

	/** Time limit of the route, and the one that the caller sends, in milliseconds. */
	readonly timeoutMs: number;
	readonly limitMs: number;

	/** Time at which the caller closed its connection without waiting for the end. */
	readonly leftAt: number | undefined;

	/** Nothing when the connection ended before an answer began. */
	readonly status: number | undefined;
	readonly isSealed: boolean;
	readonly body: string;
	readonly isComplete: boolean;
	/** `new`: one was made for the request, to an entry that the balancer chose. `none`: no connection came about. */
	readonly connection: 'new' | 'kept' | 'none';
};

/** Times in which an excuse holds, for example while a process was killed or frozen. */
export type Interval = {readonly from: number; readonly to: number};

/** A run of a request at an upstream, with the time at which it began. */
export type TimedRun = RequestRun & {readonly upstream: string; readonly at: number};
