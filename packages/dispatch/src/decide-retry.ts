/**
Decides whether a request without a complete response is retried.

Retries must not multiply the load while upstreams fail, so each one uses the retry budget unless the request was never
sent because the upstream could not be reached. Silence is no such proof: under overload, retries after it would feed
themselves. A request that may have run is retried only if the kind of its route allows that.
*/
import {MAX_SENDS_PER_REQUEST, MIN_TIME_FOR_RETRY_MS} from './constants.js';
import type {RetryDecision, FailedRequest} from './types.js';

/** Whether a request may be retried although it may have run. */
export const isRetryable = ({kind, isResumable}: Pick<FailedRequest, 'kind' | 'isResumable'>): boolean => kind === 'idempotent' || (kind === 'stream' && isResumable);

export const decideRetry = (request: FailedRequest): RetryDecision => {
	const {failure, runs, sends, attempts, remainingMs, hasBudget, isAfterSilence = false, isSuspect = false} = request;
	const mayHaveRun = failure === 'unknown' || failure === 'answered-error';
	if (mayHaveRun && !isRetryable(request)) {
		return {kind: 'give-up', reason: 'not-repeatable'};
	}

	if (mayHaveRun && runs >= attempts) {
		return {kind: 'give-up', reason: 'attempts-used'};
	}

	// What crashed one upstream must not take further ones along before that is certain.
	if (mayHaveRun && isSuspect) {
		return {kind: 'give-up', reason: 'suspect'};
	}

	if (sends >= MAX_SENDS_PER_REQUEST) {
		return {kind: 'give-up', reason: 'sends-used'};
	}

	if (remainingMs < MIN_TIME_FOR_RETRY_MS) {
		return {kind: 'give-up', reason: 'no-time'};
	}

	const usesBudget = failure !== 'not-sent' || isAfterSilence;
	return usesBudget && !hasBudget ? {kind: 'give-up', reason: 'no-budget'} : {kind: 'resend', usesBudget};
};
