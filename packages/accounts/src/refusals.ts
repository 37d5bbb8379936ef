/** Refusals of requests that were not admitted. No upstream has received these requests. */
import type {AccountState} from './account-state.js';
import {LEAVING_RETRY_AFTER_SECONDS, MIN_RETRY_AFTER_SECONDS, UNKNOWN_ACCOUNT_RETRY_AFTER_SECONDS} from './constants.js';
import type {AdmissionRefusal} from './types.js';

const wholeSeconds = (seconds: number): number => Math.max(MIN_RETRY_AFTER_SECONDS, Math.ceil(seconds));

export const leavingRefusal = (): AdmissionRefusal => ({
	kind: 'leaving', detail: 'This entry is leaving and accepts no new requests.', remedy: 'Send the request again; the balancer picks another entry.',
	retryAfterSeconds: LEAVING_RETRY_AFTER_SECONDS,
});

export const unknownAccountRefusal = (hasBearer: boolean): AdmissionRefusal => ({
	kind: 'unknown-account',
	detail: hasBearer ? 'The bearer key belongs to no account.' : 'The request has no bearer key.',
	remedy: 'Send the key of a configured account in the header authorization: Bearer <key>.',
	retryAfterSeconds: UNKNOWN_ACCOUNT_RETRY_AFTER_SECONDS,
});

/** @param seconds - until the account's bucket has a token. */
export const rateRefusal = (state: AccountState, seconds: number): AdmissionRefusal => ({
	kind: 'rate-limit',
	detail: `Account ${state.name} has used up its ${state.limits.rate} requests per second.`,
	remedy: 'Wait, or raise requests_per_second of the account.',
	retryAfterSeconds: wholeSeconds(seconds),
});

/** @param seconds - until one of the account's requests is expected to end. */
export const concurrencyRefusal = (state: AccountState, seconds: number): AdmissionRefusal => ({
	kind: 'concurrency-limit',
	detail: `Account ${state.name} has used up its ${state.limits.concurrent} concurrent requests.`,
	remedy: 'Wait until a request has ended, or raise concurrent of the account.',
	retryAfterSeconds: wholeSeconds(seconds),
});

/** @param seconds - until the account's next request is expected to be admitted. */
export const queueFullRefusal = (seconds: number): AdmissionRefusal => ({
	kind: 'queue-full', detail: 'The fleet is full and so is the queue.', remedy: 'Wait, or add VMs.',
	retryAfterSeconds: wholeSeconds(seconds),
});

export const deadlineRefusal = (detail: string, seconds: number): AdmissionRefusal => ({
	kind: 'deadline', detail, remedy: 'Wait, or send the request with a later deadline.', retryAfterSeconds: wholeSeconds(seconds),
});
