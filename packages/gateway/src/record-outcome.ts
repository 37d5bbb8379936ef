/** Derives the health of an upstream from the outcome of one attempt. */
import {isMalformed} from '@yuccawood/common';
import type {AcceptedRequest} from './accepted-request.js';
import type {GatewayContext} from './gateway-context.js';
import type {SendResult} from './send-result.js';
import type {ConnectedUpstream} from './upstream-states.js';

type Outcome = {
	readonly requestId: string;
	readonly state: ConnectedUpstream;
	readonly result: SendResult;

	/** Whether the request was to be refused by an upstream with another version. */
	readonly hasExpectedVersion: boolean;
};

export const recordOutcome = (context: Pick<GatewayContext, 'clock' | 'decisions'>, outcome: Outcome): void => {
	const {state, result, hasExpectedVersion} = outcome;
	if (result.kind === 'delivered') {
		state.recordSuccess();
		return;
	}

	if (result.kind === 'ended') {
		// Requests on a congested path reach the upstream long after their callers have left, so it gets no more for a
		// while.
		if (result.isSilence) {
			recordFailure(context, outcome, {detail: `no data until the request ended (${result.by})`, isFatal: false});
		} else {
			state.recordNoVerdict();
		}

		return;
	}

	if (result.isCancelled === true || (result.failure === 'not-run' && !result.isMisdirected)) {
		state.recordNoVerdict();
		return;
	}

	// No process listens at the address, or a different one does. The list of upstreams may take some time to show that. A
	// request that expects a version may also be refused by the right process, if it has just loaded another version.
	const isFatal = (result.failure === 'not-sent' && result.isSilence !== true) || (result.isMisdirected === true && !hasExpectedVersion);
	recordFailure(context, outcome, {detail: result.detail, isFatal});
};

const recordFailure = (
	{clock, decisions}: Pick<GatewayContext, 'clock' | 'decisions'>,
	{requestId, state}: Outcome,
	{detail, isFatal}: {readonly detail: string; readonly isFatal: boolean},
): void => {
	if (state.recordFailure(clock.monotonic(), isFatal)) {
		decisions.unusual(requestId, 'Upstream is suspended.', () => ({
			upstream: state.upstream.id, address: state.upstream.address, failures: state.health.failures, detail,
		}));
	}
};

/** Records that the body of a refusal ended with bytes that are no answer. Other errors say nothing about the upstream. */
export const recordMalformedRefusal = ({context: {clock, decisions}, request: {requestId}, state}: {
	readonly context: Pick<GatewayContext, 'clock' | 'decisions'>;
	readonly request: Pick<AcceptedRequest, 'requestId'>;
	readonly state: ConnectedUpstream;
}, error: Error): void => {
	if (isMalformed(error)) {
		state.recordFailure(clock.monotonic(), false);
		decisions.unusual(requestId, 'The body of a refusal was cut.', () => ({upstream: state.upstream.id, detail: error.message}));
	}
};
