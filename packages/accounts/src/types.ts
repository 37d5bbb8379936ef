import type {Result} from '@yuccawood/common';

/** Permission to run one request. Call `release` when the request has ended; further calls have no effect. */
export type Permit = {
	/** Name of the client account. */
	readonly account: string;

	/** Priority of the account; a larger number is more urgent. */
	readonly priority: number;
	readonly release: () => void;
};

/** Why a request was not admitted. No upstream has received it. */
export type AdmissionRefusal = {
	readonly kind: 'unknown-account' | 'rate-limit' | 'concurrency-limit' | 'queue-full' | 'deadline' | 'leaving';
	readonly detail: string;
	readonly remedy: string;

	/** Whole seconds after which the caller may retry. */
	readonly retryAfterSeconds: number;
};

export type AdmissionRequest = {
	/** Bearer key as the caller sent it; absent if the request has none. */
	readonly bearer?: string;

	/** Pool of upstreams that can run the request, under its name for `fleetCapacity`. A full pool does not delay requests of other pools. */
	readonly pool?: string;

	/** Milliseconds left until the request's deadline. */
	readonly deadlineMs: number;

	/** Aborts when the caller disconnects. */
	readonly signal?: AbortSignal;
};

/** Admits requests within the limits of their client accounts. While the upstreams are full, requests wait in a bounded fair queue. */
export interface Admission {
	readonly admit: (request: AdmissionRequest) => Promise<Result<Permit, AdmissionRefusal>>;
}
