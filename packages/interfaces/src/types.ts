/** The platform as the system sees it. Each interface has one HTTP adapter in this package. */
import type {Result} from '@yuccawood/common';
import type {PlatformError} from './errors.js';

/** A value of the key-value service. Versions of a key rise with each write. */
export type KeyValueEntry = {
	readonly key: string;
	readonly value: string;
	readonly version: number;
};

export type Lease = {
	readonly id: string;

	/** Rises with each lease granted; an order with a lower number is stale. */
	readonly fencingNumber: number;
	readonly ttlMs: number;
};

export type WriteCondition = {
	/** The version that the key must have; 0 means that the key must not exist. Absent means any. */
	readonly expectedVersion?: number;

	/** Id of a lease; the key is removed when the lease ends. */
	readonly lease?: string;
};

export type Outcome<Value> = Promise<Result<Value, PlatformError>>;

/** Compare-and-swap store with leases and watches. Every call counts against its rate limits. */
export interface KeyValueService {
	readonly read: (key: string) => Outcome<KeyValueEntry | undefined>;

	/** @returns the new version; error `conflict` when the condition does not hold, `unknown-outcome` when the answer was lost. */
	readonly write: (key: string, value: string, condition?: WriteCondition) => Outcome<number>;
	readonly remove: (key: string, condition?: WriteCondition) => Outcome<void>;
	readonly list: (prefix: string) => Outcome<readonly KeyValueEntry[]>;

	/** Waits until the key has a version above `afterVersion`, or `undefined` when the time runs out. */
	readonly watch: (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal) => Outcome<KeyValueEntry | undefined>;
	readonly grantLease: (ttlMs: number) => Outcome<Lease>;

	/** @returns the remaining time in milliseconds; error `lease-expired` when it has ended. */
	readonly renewLease: (id: string) => Outcome<number>;
	readonly revokeLease: (id: string) => Outcome<void>;
}

/** Origin of weights. Its link is limited and shared. */
export interface WeightOrigin {
	/** Bytes of the manifest with this SHA-256. The caller verifies them. */
	readonly manifest: (hash: string, signal?: AbortSignal) => Outcome<Uint8Array>;
	readonly chunk: (hash: string, signal?: AbortSignal) => Outcome<Uint8Array>;
}

export type VmState = {
	readonly id: string;
	readonly state: 'live' | 'leaving';
};

/** The platform's list of VMs, which lags behind the actual state. */
export interface VmList {
	readonly list: () => Outcome<readonly VmState[]>;
}

/** A command to an engine. Engines that check fencing refuse a number below the highest they have seen. */
export type Order = {
	readonly fencingNumber: number;
	readonly manifest: string;
};

export type LoadOrder = Order & {
	readonly name: string;
	readonly version: string;
	readonly kind: 'model' | 'adapter';
	readonly chunks: readonly string[];
};

export type LoadedVersion = {
	readonly name: string;
	readonly version: string;
	readonly manifest: string;
	readonly kind: 'model' | 'adapter';

	/** True for the version that answers requests for this name. */
	readonly active: boolean;
};

export type EngineState = {
	/** Changes with each start of the engine process. */
	readonly incarnation: string;
	readonly versions: readonly LoadedVersion[];

	/** Requests running and waiting, reported with a lag. */
	readonly running: number;
	readonly waiting: number;
	readonly capacity: number;
};

/** Weights and orders of a model engine. Requests go to its HTTP address as chat completions. */
export interface ModelEngine {
	readonly state: () => Outcome<EngineState>;

	/** Hands over one verified chunk; chunks may come in any order and twice. */
	readonly putChunk: (hash: string, data: Uint8Array) => Outcome<void>;

	/** Assembles the chunks. @returns the manifest hash that the engine computed. */
	readonly load: (order: LoadOrder) => Outcome<string>;

	/** Makes a loaded version answer new requests; requests in progress stay on their version. */
	readonly activate: (order: Order) => Outcome<void>;
	readonly unload: (order: Order) => Outcome<void>;
}
