/** Interfaces to the platform's services. Each interface has one HTTP adapter in this package. */
import type {Result} from '@yuccawood/common';
import type {PlatformError} from './errors.js';

/** A value of the key-value service. `version` increases with each write of the key. */
export type KeyValueEntry = {
	readonly key: string;
	readonly value: string;
	readonly version: number;
};

export type Lease = {
	readonly id: string;

	/** Fencing token: it increases with each lease that is granted, so an order with a lower number is stale. */
	readonly fencingNumber: number;
	readonly ttlMs: number;
};

export type WriteCondition = {
	/** Version that the key must have; 0 if it must not exist. Absent: any version. */
	readonly expectedVersion?: number;

	/** Id of the lease at whose end the key is removed. Absent: the key stays. */
	readonly lease?: string;
};

export type Outcome<Value> = Promise<Result<Value, PlatformError>>;

/** Key-value store with conditional writes (compare and swap), leases and watches. Each call counts against its rate limits. */
export interface KeyValueService {
	readonly read: (key: string) => Outcome<KeyValueEntry | undefined>;

	/** @returns the new version; error `conflict` if the condition does not hold, `unknown-outcome` if no response arrived */
	readonly write: (key: string, value: string, condition?: WriteCondition) => Outcome<number>;
	readonly remove: (key: string, condition?: WriteCondition) => Outcome<void>;
	readonly list: (prefix: string) => Outcome<readonly KeyValueEntry[]>;

	/** Waits until the version of the key exceeds `afterVersion`. @returns `undefined` if that does not happen within `timeoutMs` */
	readonly watch: (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal) => Outcome<KeyValueEntry | undefined>;
	readonly grantLease: (ttlMs: number) => Outcome<Lease>;

	/** @returns the time until the lease expires, in milliseconds; error `lease-expired` if it has */
	readonly renewLease: (id: string) => Outcome<number>;
	readonly revokeLease: (id: string) => Outcome<void>;
}

/** Origin of weights. All processes share its link, which has a limited bandwidth. */
export interface WeightOrigin {
	/** @param hash SHA-256 of the manifest. @returns its bytes, which the caller must verify */
	readonly manifest: (hash: string, signal?: AbortSignal) => Outcome<Uint8Array>;

	/** @param hash SHA-256 of the chunk. @returns its bytes, which the caller must verify */
	readonly chunk: (hash: string, signal?: AbortSignal) => Outcome<Uint8Array>;
}

export type VmState = {
	readonly id: string;
	readonly state: 'live' | 'leaving';
};

/** The platform's list of VMs. It lags behind their actual state. */
export interface VmList {
	readonly list: () => Outcome<readonly VmState[]>;
}

/** A command to an engine. An engine that checks fencing refuses numbers below the highest that it has seen. */
export type Order = {
	readonly fencingNumber: number;

	/** Hash of the manifest of the version that is meant. */
	readonly manifest: string;
};

export type LoadOrder = Order & {
	readonly name: string;
	readonly version: string;
	readonly kind: 'model' | 'adapter';

	/** Hashes of the chunks in their order in the weights. */
	readonly chunks: readonly string[];
};

export type LoadedVersion = {
	readonly name: string;
	readonly version: string;
	readonly manifest: string;
	readonly kind: 'model' | 'adapter';

	/** Whether new requests for this name are answered by this version. */
	readonly active: boolean;
};

export type EngineState = {
	/** Changes with each start of the engine process. */
	readonly incarnation: string;
	readonly versions: readonly LoadedVersion[];

	/** Numbers of running and of waiting requests. They lag behind. */
	readonly running: number;
	readonly waiting: number;

	/** Number of requests that can run at the same time. */
	readonly capacity: number;
};

/** Weight management of a model engine. Requests of callers do not pass here: they go to its HTTP address as chat completions. */
export interface ModelEngine {
	readonly state: () => Outcome<EngineState>;

	/** Uploads one verified chunk. Chunks may be sent in any order and more than once. */
	readonly putChunk: (hash: string, data: Uint8Array) => Outcome<void>;

	/** Assembles the uploaded chunks. @returns the manifest hash that the engine computed */
	readonly load: (order: LoadOrder) => Outcome<string>;

	/** Directs new requests to a loaded version. Requests in progress stay on theirs. */
	readonly activate: (order: Order) => Outcome<void>;
	readonly unload: (order: Order) => Outcome<void>;
}
