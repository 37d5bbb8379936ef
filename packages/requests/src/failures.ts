/** Creates the failures that an entry reports, with the remedy that fits their outcome. */
import {RETRY_AFTER_SECONDS} from './constants.js';
import {RequestError, type ExecutionOutcome, type RequestErrorKind} from './errors.js';

export const createFailure = (kind: RequestErrorKind, detail: string, outcome: ExecutionOutcome): RequestError => {
	const remedy = outcome === 'not-run' ? 'Send the request again.' : 'Check whether the request took effect before sending it again.';
	return new RequestError({
		kind, detail, remedy, outcome, ...(outcome === 'not-run' && {retryAfterSeconds: RETRY_AFTER_SECONDS}),
	});
};

export const createQuarantineFailure = (outcome: ExecutionOutcome): RequestError => new RequestError({
	kind: 'quarantined', detail: 'This request was in progress at several deaths of upstreams.', remedy: 'Do not send it again unchanged.', outcome,
});
