import type {Result} from '@yuccawood/common';

/** Leave to run one request; release it exactly once when the request has ended. */
export type Permit = {
	readonly account: string;
	readonly priority: number;
	readonly release: () => void;
};

/** Why a request was not admitted. Nothing was run. */
export type AdmissionRefusal = {
	readonly kind: 'unknown-account' | 'rate-limit' | 'concurrency-limit' | 'queue-full' | 'deadline' | 'leaving';
	readonly detail: string;
	readonly remedy: string;

	/** Seconds after which the caller may try again. */
	readonly retryAfterSeconds: number;
};

export type AdmissionRequest = {
	/** Bearer key as the caller sent it; absent when there was none. */
	readonly bearer?: string;

	/** Upstreams that the request can run on, as `fleetCapacity` names them. Requests of different pools do not wait for each other. */
	readonly pool?: string;

	/** Time left to the request's deadline, in milliseconds. */
	readonly deadlineMs: number;
	readonly signal?: AbortSignal;
};

/** Admits requests under the limits of their client accounts; waits in a bounded fair queue when the fleet is full. */
export interface Admission {
	readonly admit: (request: AdmissionRequest) => Promise<Result<Permit, AdmissionRefusal>>;
}
