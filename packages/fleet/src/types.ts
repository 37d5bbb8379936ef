import type {Result} from '@yuccawood/common';
import type {StoreItem} from './item-source.js';

/**
Which requests of a route may be retried: `idempotent` ones always, `once` only if they did not run, `stream` only if they
did not run or the route is resumable.
*/
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A service that serves a fraction of a route's requests. */
export type Backend = {
	readonly service: string;

	/** Relative to the weights of the route's other services. */
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;

	/** Path prefix that begins and ends with a slash. The longest matching prefix of the host is used. */
	readonly prefix: string;
	readonly kind: RouteKind;

	/** Request timeout in milliseconds. */
	readonly timeoutMs: number;

	/** Latency goal in milliseconds; for a stream, up to its first event. */
	readonly goalMs: number;

	/** 0 is the most urgent. */
	readonly priority: number;

	/** Largest number of upstreams that may run one request. */
	readonly attempts: number;

	/** Requests need no key of a client account. */
	readonly isAnonymous: boolean;

	/** A broken stream may be continued at another upstream after its last event. */
	readonly isResumable: boolean;

	/** Latency goal between two events of a stream, in milliseconds. */
	readonly gapGoalMs: number | undefined;

	/** Regions in which requests may be served; every region if empty or absent. */
	readonly allowedRegions?: readonly string[];
	readonly backends: readonly Backend[];
};

/** Published cost model of a model engine. */
export type EngineProfile = {
	/** Models that the engine can hold. */
	readonly models: readonly string[];

	/** Largest number of requests in one batch. */
	readonly slots: number;

	/** Time of one token step, in milliseconds, and the time that each running request adds to it. */
	readonly stepMs: number;
	readonly stepMsPerRequest: number;

	/** Token steps in one pass over the batch. New prompts are read between passes. */
	readonly stepsPerPass: number;
	readonly prefillTokensPerSecond: number;

	/** Largest number of prompt tokens that are read between two passes. */
	readonly prefillTokensPerPass: number;

	/** Mean token counts of requests. */
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;

	readonly layers: number;

	/** Number of chunks of a version, and the size of each in bytes. */
	readonly chunks: number;
	readonly chunkBytes: number;
};

/** Origin server of the weights, from the configuration. */
export type OriginAddress = {
	readonly address: string;
	readonly failureDomain: string;
	readonly linkMegabitsPerSecond: number;
};

/** An upstream is cold for some time after its start, and at times later. */
export type ColdProfile = {
	/** Time for which it is cold, in milliseconds. */
	readonly coldMs: number;

	/** Requests a second, of all callers together, that it tolerates meanwhile. */
	readonly requestsPerSecond: number;
};

export type Service = {
	readonly name: string;

	/** Largest number of connections that one upstream of the service accepts, from all callers together. */
	readonly maxConnections: number;

	/** What its upstreams tolerate while they are cold; absent if they are never cold. */
	readonly cold?: ColdProfile;
	readonly engine: EngineProfile | undefined;
	readonly origin: OriginAddress | undefined;
};

export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];

	/** Overrides the priority of the route. */
	readonly priority: number | undefined;

	/** Regions in which its requests may be served, besides what the route allows; every region if empty or absent. */
	readonly allowedRegions?: readonly string[];
};

/** Size and time limits of requests from callers. */
export type RequestLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerMs: number;
	readonly idleMs: number;
};

/** The operators' configuration of routes, services and client accounts. */
export type TrafficConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly accounts: readonly ClientAccount[];

	/** Whether requests need the key of a client account, except on anonymous routes. */
	readonly requiresKeys: boolean;
	readonly limits: RequestLimits;
};

/**
The part of the configuration that agents need. It is small because many agents read it over links that the whole
configuration would saturate.
*/
export type EngineDirectory = {
	/** Store revision of the configuration that it was made from. */
	readonly revision: number;
	readonly services: readonly EngineService[];
	readonly origin: Pick<OriginAddress, 'address' | 'failureDomain'> | undefined;
};

/** A service of model engines. */
export type EngineService = {
	readonly name: string;

	/** Models that its engines can hold. */
	readonly models: readonly string[];

	/** Whether requests of every route to it may be retried or resumed after they have run. */
	readonly isRepeatable: boolean;
};

/** Version of a model that an upstream holds completely. */
export type HeldModel = {
	readonly name: string;
	readonly version: number;
};

/** An upstream as listed by the platform. Each start of its process is listed separately. */
export type Upstream = {
	/** Unique for each start, also when the platform reuses an id. */
	readonly key: string;
	readonly id: string;
	readonly service: string;

	/** `IP:port`. */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly state: 'ready' | 'draining';

	/** Unix milliseconds of the start, if listed. */
	readonly startedAt: number | undefined;

	/** Number of the report that says so, which counts up within one start; absent if the platform tells none. */
	readonly sequence?: number;

	/** Time for which it stays cold from when it was listed so, in milliseconds; 0 or absent if it is warm. */
	readonly coldForMs?: number;
	readonly model: HeldModel | undefined;
};

/** A version of a model's weights that the operators set as the target. */
export type ModelTarget = {
	readonly model: string;
	readonly version: number;

	/**
	Monotonic milliseconds from which the staleness bound counts: when this process learned of the version, or earlier if the
	update may have been delayed.
	*/
	readonly learnedAt: number;

	/** Monotonic milliseconds at which this process or a peer knew for certain that the version was the target. */
	readonly knownAt: number;

	/** Latest monotonic time in milliseconds at which the version was provably not set yet; undefined if unknown. */
	readonly absentAt?: number;

	/**
	Monotonic milliseconds at which a waiting watch delivered the version, or until which the store was unreachable before. Undefined
	if this process may have learned of the version late for another reason.
	*/
	readonly witnessedAt?: number;
};

/** Time for which a process has known for certain that a version is a target. */
export type TargetAge = {
	readonly model: string;
	readonly version: number;
	readonly ageMs: number;

	/** Time that the process counts towards the staleness bound: `ageMs`, or more if it may have learned of the version late. */
	readonly countedMs: number;

	/** Time since the version was provably not set yet. */
	readonly absentMs?: number;

	/** Time since a waiting watch delivered the version, or since the end of the outage before; absent if that process may have learned of it late. */
	readonly witnessedMs?: number;
};

/** Response of a peer to a query for the ages of the target versions that it knows. */
export type TargetAges = {
	readonly region: string;
	readonly ages: readonly TargetAge[];
};

/** State of an upstream, reported by the agent beside it. */
export type UpstreamReport = {
	/** Address of the upstream, `IP:port`. */
	readonly address: string;

	/** Number of requests that run and that are queued. */
	readonly running: number;
	readonly waiting: number;

	/** Version of the weights that it holds. */
	readonly version: number | undefined;

	/** Whether it loads weights or is about to. */
	readonly isSwitching: boolean;

	/** Slowness of the upstream; above 1 when slower than usual. */
	readonly pace: number;
};

/** Content of a store item, decoded by the platform's adapter. */
export type Announcement =
	{readonly kind: 'configuration'; readonly configuration: TrafficConfiguration}
	| {readonly kind: 'target'; readonly model: string; readonly version: number}
	| {readonly kind: 'upstream'; readonly id: string; readonly upstream: Upstream | undefined}
	| {readonly kind: 'evacuation'; readonly failureDomain: string; readonly isInForce: boolean}
	| {readonly kind: 'entry'; readonly id: string; readonly address: string | undefined}
	| {readonly kind: 'engines'; readonly directory: EngineDirectory}
	| {readonly kind: 'crasher'; readonly id: string; readonly crashes: number | undefined}
	| {readonly kind: 'other'};

/** When and how this process learned of an announcement. */
export type AnnouncementContext = {
	readonly revision: number;

	/** Whether a removal may be a lease that expired because of a store outage. The upstream then stays usable for a grace period. */
	readonly mayBeLeaseExpiry: boolean;

	/** Whether the item was removed from the store. Otherwise it may be there and not usable. */
	readonly isRemoved?: boolean;

	/** Length of that grace period in milliseconds. */
	readonly leaseGraceMs?: number;

	/** Upper bound on the time for which the item has been in the store; undefined when unknown. */
	readonly ageBoundMs?: number;

	/** Assumed time for which the item has been in the store; undefined until the part was first read, when nothing is known of it. */
	readonly ageMs?: number;

	/** Whether a watch that was waiting delivered the item. A connection that went silent delivers nothing. */
	readonly isDelivered?: boolean;

	/** Time since the store was last found unreachable, in milliseconds; undefined if it never was. */
	readonly sinceUnreachableMs?: number;
};

/** Decodes items of the store. */
export interface ItemDecoder {
	/** Returns an error for an item that cannot be decoded. It changes nothing, but an entry of a list then counts as removed. */
	readonly decode: (item: StoreItem) => Result<Announcement, Error>;
}
