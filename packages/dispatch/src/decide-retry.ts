/**
Decides whether a request without a complete answer is sent once more.

Load pattern: failures under load. Repeats must not multiply the load, so all but those that never arrived draw on the
budget; a request that may have run is repeated only where its kind allows it.
*/
import {MAX_SENDS_PER_REQUEST, MIN_TIME_FOR_RETRY_MS} from './constants.js';
import type {Resend, ResendNeed} from './types.js';

/** Whether a request that may have run may be sent once more. */
export const isRepeatable = ({kind, isResumable}: Pick<ResendNeed, 'kind' | 'isResumable'>): boolean => kind === 'idempotent' || (kind === 'stream' && isResumable);

export const decideResend = (need: ResendNeed): Resend => {
	const {failure, runs, sends, attempts, remainingMs, hasBudget} = need;
	const mayHaveRun = failure === 'unknown' || failure === 'answered-error';
	if (mayHaveRun && !isRepeatable(need)) {
		return {kind: 'give-up', reason: 'not-repeatable'};
	}

	if (mayHaveRun && runs >= attempts) {
		return {kind: 'give-up', reason: 'attempts-used'};
	}

	if (sends >= MAX_SENDS_PER_REQUEST) {
		return {kind: 'give-up', reason: 'sends-used'};
	}

	if (remainingMs < MIN_TIME_FOR_RETRY_MS) {
		return {kind: 'give-up', reason: 'no-time'};
	}

	const usesBudget = failure !== 'not-sent';
	return usesBudget && !hasBudget ? {kind: 'give-up', reason: 'no-budget'} : {kind: 'resend', usesBudget};
};
