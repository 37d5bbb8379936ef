/** Decides whether an agent takes a forwarded request. Every rejection here is proof that the request was not run. */
import type {ServedVersion} from '@yuccawood/membership';
import {RETRY_AFTER_SECONDS} from './constants.js';
import {RequestError, type RequestErrorKind} from './errors.js';
import type {ForwardedHead} from './forwarded-head.js';
import type {RequestRecords} from './request-records.js';

export type AgentState = {
	readonly selfId: string;
	readonly incarnation: number;
	readonly kind: 'engine' | 'service';
	readonly serving: () => readonly ServedVersion[];
	readonly records: RequestRecords;
	readonly inProgress: number;

	/** Requests that may be in progress at the same time. */
	readonly limit: number;
	readonly isRefusing: boolean;
	readonly upstream: {readonly isDown: boolean; readonly runsSuspect: boolean};
};

const refusal = (kind: RequestErrorKind, detail: string): RequestError => new RequestError({
	kind, detail, remedy: 'Send the request to another VM.', retryAfterSeconds: RETRY_AFTER_SECONDS,
});

/** @returns why the request is rejected, or `undefined` when it is taken. */
export const refuseForwarded = (head: ForwardedHead, state: AgentState): RequestError | undefined => {
	if (head.vm !== state.selfId || head.incarnation !== state.incarnation) {
		return refusal('wrong-incarnation', 'The request is meant for another VM or an earlier incarnation.');
	}

	const known = state.records.get(head.requestId);
	if (known !== undefined || state.records.isForgotten(head.requestId)) {
		return new RequestError({
			kind: 'tombstone', detail: 'The request was settled before it arrived.', remedy: 'Send a new request.', outcome: known?.state === 'not-run' ? 'not-run' : 'unknown',
		});
	}

	if (state.isRefusing) {
		return refusal('leaving', 'This VM is leaving.');
	}

	if (state.inProgress >= state.limit) {
		return refusal('overloaded', `This VM has ${state.inProgress} requests in progress, its limit.`);
	}

	return refuseForUpstream(head, state);
};

const refuseForUpstream = ({suspect, model, pinnedVersion}: ForwardedHead, {upstream, kind, serving}: AgentState): RequestError | undefined => {
	if (upstream.isDown) {
		return refusal('upstream-down', 'The upstream of this VM takes no connections.');
	}

	if (suspect && upstream.runsSuspect) {
		return refusal('suspect-running', 'This VM runs another request that was in progress when an upstream died.');
	}

	if (kind === 'engine' && !serving().some(({name, manifest}) => name === model && (pinnedVersion === undefined || pinnedVersion === manifest))) {
		return refusal('wrong-version', 'This VM does not serve the model in a verified version.');
	}

	return undefined;
};
