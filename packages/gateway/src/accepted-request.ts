import type {CallerTimes, RouteTable} from '@yuccawood/dispatch';
import type {Route} from '@yuccawood/fleet';

/** A request that was read completely and passed all checks. */
export type AcceptedRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array | undefined;
	readonly lastEventId: string | undefined;
	readonly promptTokens: number | undefined;
	readonly answerTokens: number | undefined;
	readonly sharedParts: readonly string[];
	readonly route: Route;
	readonly table: RouteTable;
	readonly service: string;
	readonly account: string | undefined;

	/** Failure domains in which the request may be served; undefined if in all. */
	readonly allowedDomains: ReadonlySet<string> | undefined;
	readonly priority: number;

	/** Earliest monotonic time in milliseconds at which the request may have reached this VM. */
	readonly arrivedAt: number;

	/** Monotonic time in milliseconds at which this entry had read all of the request. */
	readonly bodyReadAt: number;

	/** Latest monotonic time in milliseconds at which the caller stops waiting. The deadline is the earliest. */
	readonly lastDeadlineAt: number;

	/**
	Monotonic time in milliseconds at which an answer in progress ends. The deadline counts from the earliest arrival, and the
	caller may have more time, which ends soon after the timeout of the route.
	*/
	readonly endsAt: number;
} & CallerTimes;
