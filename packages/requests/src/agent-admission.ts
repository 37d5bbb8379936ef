/** Decides whether an agent accepts a forwarded request. A rejected request is not run; its outcome is `unknown` only if its id was received before. */
import type {ServedVersion} from '@yuccawood/membership';
import {RETRY_AFTER_SECONDS} from './constants.js';
import {RequestError, type RequestErrorKind} from './errors.js';
import type {ForwardedHead} from './forwarded-head.js';
import type {RequestRecords} from './request-records.js';

export type AdmissionState = {
	readonly selfId: string;
	readonly incarnation: number;
	readonly kind: 'engine' | 'service';
	readonly serving: () => readonly ServedVersion[];
	readonly records: RequestRecords;
	readonly inProgress: number;

	/** Limit on requests in progress. */
	readonly maxInProgress: number;

	/** Whether all new requests are rejected. */
	readonly isRejecting: boolean;
	readonly upstream: {readonly isDown: boolean; readonly runsSuspect: boolean};
};

const createRejection = (kind: RequestErrorKind, detail: string): RequestError => new RequestError({
	kind, detail, remedy: 'Send the request to another VM.', retryAfterSeconds: RETRY_AFTER_SECONDS,
});

/** @returns why the request is rejected, or `undefined` when it is accepted. */
export const findRejection = (head: ForwardedHead, state: AdmissionState): RequestError | undefined => {
	if (head.vm !== state.selfId || head.incarnation !== state.incarnation) {
		return createRejection('wrong-incarnation', 'The request is meant for another VM or an earlier incarnation.');
	}

	const known = state.records.get(head.requestId);
	if (known !== undefined || state.records.mayBeEvicted(head.requestId)) {
		return new RequestError({
			kind: 'tombstone', detail: 'The request was settled before it arrived.', remedy: 'Send a new request.', outcome: known?.state === 'not-run' ? 'not-run' : 'unknown',
		});
	}

	if (state.isRejecting) {
		return createRejection('leaving', 'This VM is leaving.');
	}

	if (state.inProgress >= state.maxInProgress) {
		return createRejection('overloaded', `This VM has ${state.inProgress} requests in progress, its limit.`);
	}

	return findUpstreamRejection(head, state);
};

const findUpstreamRejection = ({suspect, model, pinnedVersion}: ForwardedHead, {upstream, kind, serving}: AdmissionState): RequestError | undefined => {
	if (upstream.isDown) {
		return createRejection('upstream-down', 'The upstream of this VM takes no connections.');
	}

	if (suspect && upstream.runsSuspect) {
		return createRejection('suspect-running', 'This VM runs another request that was in progress when an upstream died.');
	}

	if (kind === 'engine' && !serving().some(({name, manifest}) => name === model && (pinnedVersion === undefined || pinnedVersion === manifest))) {
		return createRejection('wrong-version', 'This VM does not serve the model in a verified version.');
	}

	return undefined;
};
