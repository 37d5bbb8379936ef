/** Log fields that tell how late a decision on a request is, how far a stop of this entry is, and what is known of the path to its upstream. */
import type {LogFields} from '@yuccawood/common';
import type {AcceptedRequest} from './accepted-request.js';
import type {GatewayContext} from './gateway-context.js';
import type {UpstreamState} from './upstream-state.js';

export const timeFields = ({clock, lag, stopLimit}: Pick<GatewayContext, 'clock' | 'lag' | 'stopLimit'>, {arrivedAt, deadlineAt}: Pick<AcceptedRequest, 'arrivedAt' | 'deadlineAt'>): LogFields => {
	const now = clock.monotonic();
	const {startedAt} = stopLimit.times ?? {};
	return {
		sinceStopMs: startedAt === undefined ? undefined : Math.round(now - startedAt),
		sinceArrivalMs: Math.round(now - arrivedAt), remainingMs: Math.round(deadlineAt - now), loopDelayMs: Math.round(lag.loopDelayMs), acceptBacklogMs: Math.round(lag.acceptBacklogMs),
	};
};

/**
Log fields that count from the latest moments: the time after the beginning of a stop at which the request was read, and the time
that its caller may still wait. Those of {@link timeFields} count from the earliest arrival.
*/
export const latestTimeFields = ({clock, stopLimit}: Pick<GatewayContext, 'clock' | 'stopLimit'>, {bodyReadAt, lastDeadlineAt}: Pick<AcceptedRequest, 'bodyReadAt' | 'lastDeadlineAt'>): LogFields => {
	const {startedAt} = stopLimit.times ?? {};
	return {readAfterStopMs: startedAt === undefined ? undefined : Math.round(bodyReadAt - startedAt), lastRemainingMs: Math.round(lastDeadlineAt - clock.monotonic())};
};

/**
Log fields that tell whether requests lie on the way to an upstream: what was written and not confirmed, for how long, and the
time since any data came from it.
*/
export const pathFields = ({clock}: Pick<GatewayContext, 'clock'>, state: UpstreamState | undefined): LogFields => {
	if (!state) {
		return {};
	}

	const now = clock.monotonic();
	const {sends, bytes, oldestMs} = state.underWay.at(now);
	const {lastDataAt} = state.signs;
	return {
		unconfirmedSends: sends, unconfirmedBytes: bytes, unconfirmedMs: Math.round(oldestMs), silentMs: lastDataAt === undefined ? undefined : Math.round(now - lastDataAt),
	};
};
