/**
Paths and bodies of the platform's HTTP interfaces, shared by the adapters and the stand-ins.

A failed call is answered with a status above 299 and a `FailureBody`.

Key-value service:
- `GET /entries/<key>` answers 200 with a `KeyValueEntry`, or 204 if the key does not exist.
- `GET /entries/<key>?afterVersion=N&waitMs=M` is a watch (long poll): it answers 200 with the entry once its version exceeds N,
  or 204 after M milliseconds.
- `GET /entries?prefix=P` answers with `KeyValueEntry[]`, ordered by key.
- `PUT /entries/<key>?expectedVersion=N&lease=ID` takes the value as its body and answers with `{version}`.
- `DELETE /entries/<key>?expectedVersion=N` answers 204.
- `POST /leases` with `{ttlMs}` answers with a `Lease`.
- `POST /leases/<id>/renewal` answers with `{remainingMs}`.
- `DELETE /leases/<id>` answers 204.

Origin: `GET /manifests/<hash>` and `GET /chunks/<hash>` answer with the bytes.

VM list: `GET /vms` answers with `VmState[]`.

Engine:
- `GET /engine/state` answers with an `EngineState`.
- `PUT /engine/chunks/<hash>` takes the bytes of a chunk and answers 204.
- `POST /engine/load` with a `LoadOrder` answers with `{manifest}`, the hash that the engine computed.
- `POST /engine/activate` and `POST /engine/unload` with an `Order` answer 204.
- `POST /v1/chat/completions` generates an answer; the response header `x-model-version` is the manifest hash of the version
  that generated it.
*/
import type {PlatformErrorKind} from './errors.js';

/** Body of the response to a failed call. `currentVersion` comes with `conflict`. */
export type FailureBody = {
	readonly kind: PlatformErrorKind;
	readonly detail: string;
	readonly remedy: string;
	readonly currentVersion?: number;
};

/** HTTP status of each kind of failure. */
export const FAILURE_STATUS: Readonly<Record<PlatformErrorKind, number>> = {
	'not-found': 404,
	conflict: 409,
	'lease-expired': 410,
	'stale-fencing': 412,
	'history-lost': 416,
	'too-large': 413,
	rejected: 422,
	'rate-limited': 429,
	unavailable: 503,
	'unknown-outcome': 504,
};

export const ENTRIES_PATH = '/entries';
export const LEASES_PATH = '/leases';
export const MANIFESTS_PATH = '/manifests';
export const CHUNKS_PATH = '/chunks';
export const VMS_PATH = '/vms';
export const ENGINE_STATE_PATH = '/engine/state';
export const ENGINE_CHUNKS_PATH = '/engine/chunks';
export const ENGINE_LOAD_PATH = '/engine/load';
export const ENGINE_ACTIVATE_PATH = '/engine/activate';
export const ENGINE_UNLOAD_PATH = '/engine/unload';
export const COMPLETIONS_PATH = '/v1/chat/completions';
export const CACHE_EVENTS_PATH = '/cache-events';

/** Response header of an engine: the manifest hash of the version that answered. */
export const MODEL_VERSION_HEADER = 'x-model-version';

/** Header with the id of a request that is forwarded to an upstream. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Maximum size of a value of the key-value service. */
export const MAX_VALUE_BYTES = 1_000_000;

export const entryPath = (key: string): string => `${ENTRIES_PATH}/${encodeURIComponent(key)}`;
