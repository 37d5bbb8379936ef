import type {Result} from '@yuccawood/common';
import type {PlatformError} from '@yuccawood/interfaces';

/** What may be done twice with the requests of a route. */
export type RouteKind = 'idempotent' | 'once' | 'stream';

/** A share of a route's requests that goes to one service. */
export type Backend = {
	readonly service: string;
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	readonly host: string;

	/** Path prefix that begins and ends with a slash; the longest match wins. */
	readonly prefix: string;
	readonly kind: RouteKind;

	/** Longest time that a request may be kept waiting, in milliseconds. */
	readonly timeoutMs: number;

	/** Response-time goal in milliseconds; of a stream, up to its first event. */
	readonly goalMs: number;

	/** Rank among routes; 0 is the most urgent. */
	readonly priority: number;

	/** Most upstreams to which one request may be sent. */
	readonly attempts: number;

	/** Needs no key of a client account. */
	readonly isAnonymous: boolean;

	/** A broken stream may be continued at another upstream after its last event. */
	readonly isResumable: boolean;

	/** Longest pause between two events of a stream that is still on time, in milliseconds. */
	readonly gapGoalMs: number | undefined;
	readonly backends: readonly Backend[];
};

/** Published cost model of a model engine. */
export type EngineProfile = {
	/** Models that the engine can hold. */
	readonly models: readonly string[];

	/** Requests that run in one batch. */
	readonly slots: number;

	/** Time of one token step, in milliseconds, plus the part that each running request adds. */
	readonly stepMs: number;
	readonly stepMsPerRequest: number;

	/** Steps that one pass over the batch runs before new prompts are read. */
	readonly stepsPerPass: number;
	readonly prefillTokensPerSecond: number;

	/** Mean token counts of requests. */
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;

	readonly layers: number;

	/** Pieces of a version and the size of each. */
	readonly chunks: number;
	readonly chunkBytes: number;
};

/** Origin of weights as the configuration names it. */
export type OriginAddress = {
	readonly address: string;
	readonly failureDomain: string;
	readonly linkMegabitsPerSecond: number;
};

export type Service = {
	readonly name: string;

	/** Connections that one upstream of the service accepts from all callers together. */
	readonly maxConnections: number;
	readonly engine: EngineProfile | undefined;
	readonly origin: OriginAddress | undefined;
};

export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];

	/** Goes before the priority of the route. */
	readonly priority: number | undefined;
};

/** What callers may send, and how long they may take. */
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

	/** Whether requests need a key at all. */
	readonly requiresKeys: boolean;
	readonly limits: RequestLimits;
};

/** What agents need of the configuration. Small: many agents read it over links that a configuration would fill. */
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

	/** Whether every route to it lets its requests be continued or repeated. */
	readonly isRepeatable: boolean;
};

/** Version of a model that an upstream holds in full. */
export type HeldModel = {
	readonly name: string;
	readonly version: number;
};

/** One start of an upstream, as the platform lists it. */
export type Upstream = {
	/** Differs for each start, also when the platform uses an id again. */
	readonly key: string;
	readonly id: string;
	readonly service: string;

	/** `IP:port`. */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly state: 'ready' | 'draining';

	/** Unix milliseconds of the start, if told. */
	readonly startedAt: number | undefined;
	readonly model: HeldModel | undefined;
};

/** A version of a model's weights that the operators named. */
export type ModelTarget = {
	readonly model: string;
	readonly version: number;

	/** Monotonic time from which its bound counts: when this process learned of it, or earlier when the news may have been late. */
	readonly learnedAt: number;

	/** Monotonic time at which the version was known to be named for certain, here or at a peer. */
	readonly namedBefore: number;

	/** Whether this process followed the named versions before, so that it had learned of the version late, but not any time before. */
	readonly isWitnessed: boolean;
};

/** How long a process has known for certain that a version was named. */
export type TargetAge = {
	readonly model: string;
	readonly version: number;
	readonly ageMs: number;

	/** Whether that process followed the named versions before it learned of this one. */
	readonly isWitnessed: boolean;
};

/** What a peer answers when it is asked for the ages of the versions that it knows. */
export type TargetAges = {
	readonly region: string;
	readonly ages: readonly TargetAge[];
};

/** State of an upstream as the agent beside it sees it. */
export type UpstreamReport = {
	/** Address of the upstream, `IP:port`. */
	readonly address: string;
	readonly running: number;
	readonly waiting: number;
	readonly version: number | undefined;

	/** Loads weights now or is about to. */
	readonly isSwitching: boolean;
	readonly pace: number;
};

/** An item of the platform's store. Keys are opaque here; the adapter decodes them. */
export type StoreItem = {
	readonly key: string;

	/** Absent when the item was removed. */
	readonly value: string | undefined;

	/** Store revision of the last change. */
	readonly revision: number;
};

export type StoreSnapshot = {
	readonly items: readonly StoreItem[];

	/** Revision from which a watch continues. */
	readonly revision: number;
	readonly transfer: AnswerTransfer;
};

/** How an answer of the store arrived. */
export type AnswerTransfer = {
	readonly bytes: number;

	/** Time from its first to its last byte. */
	readonly milliseconds: number;
};

/** What an item of the store says, decoded by the platform's adapter. */
export type Announcement =
	{readonly kind: 'configuration'; readonly configuration: TrafficConfiguration}
	| {readonly kind: 'target'; readonly model: string; readonly version: number}
	| {readonly kind: 'upstream'; readonly id: string; readonly upstream: Upstream | undefined}
	| {readonly kind: 'entry'; readonly id: string; readonly address: string | undefined}
	| {readonly kind: 'engines'; readonly directory: EngineDirectory}
	| {readonly kind: 'crasher'; readonly fingerprint: string; readonly crashes: number}
	| {readonly kind: 'other'};

/** How this process came to know of an announcement. */
export type Learning = {
	readonly revision: number;

	/** The removal may come from an outage of the store; the upstream then stays usable for a short grace. */
	readonly mayBeLapse: boolean;

	/** Longest time for which the item may have been in the store, as far as it is known. */
	readonly ageBoundMs?: number;

	/** Time for which the item counts as being in the store; absent before the first read, when nothing is known of it. */
	readonly ageMs?: number;
};

export type StoreOutcome<Value> = Promise<Result<Value, PlatformError>>;

export type WatchOptions = {
	readonly afterRevision: number;

	/** Longest wait for a change, in milliseconds. */
	readonly waitMs: number;

	/** Time limit between two parts of the answer, in milliseconds. */
	readonly idleTimeoutMs?: number;

	/** Called when the answer begins to arrive. */
	readonly onHead?: () => void;
	readonly signal: AbortSignal;
};

/** A part of the store's keys that is followed by itself, so that bulky parts do not delay urgent ones. */
export type StorePart = {
	/** Name in logs and metrics. */
	readonly name: string;
	readonly prefix: string;

	/** Values are large and only the newest matters, so intermediate ones are skipped. */
	readonly isBulky: boolean;
};

/** What a process already has of one part, when it asks a peer for the rest. */
export type PartState = {
	readonly prefix: string;

	/** All changes up to here are known. */
	readonly revision: number;

	/** Revisions of items that are known beyond it, by key. */
	readonly later: Readonly<Record<string, number>>;
};

/** The store as the follower reads it. */
export interface ItemSource {
	/** Reads all items under the prefix. The time limit, in milliseconds, holds up to the first byte and between parts of the answer. */
	readonly snapshot: (prefix: string, options?: {readonly timeoutMs?: number}) => StoreOutcome<StoreSnapshot>;

	/** Waits for changes after the revision. Error kind `history-lost` when they are no longer kept. */
	readonly watch: (prefix: string, options: WatchOptions) => StoreOutcome<StoreSnapshot>;

	/** The present revision of the store. */
	readonly revision: () => StoreOutcome<number>;

	/** A recent revision of the store, or the newest one under a prefix; cheap, and possibly some seconds old. */
	readonly recentRevision: (prefix?: string) => StoreOutcome<number>;
}

/** Decodes items of the store. */
export interface ItemDecoder {
	/** Error when the item cannot be read; it then changes nothing. */
	readonly decode: (item: StoreItem) => Result<Announcement, Error>;
}
