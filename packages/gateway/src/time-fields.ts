/** Log fields that tell how late a decision on a request is. */
import type {LogFields} from '@yuccawood/common';
import type {AcceptedRequest} from './accepted-request.js';
import type {GatewayContext} from './gateway-context.js';

export const timeFields = ({clock, lag}: Pick<GatewayContext, 'clock' | 'lag'>, {arrivedAt, deadlineAt}: Pick<AcceptedRequest, 'arrivedAt' | 'deadlineAt'>): LogFields => {
	const now = clock.monotonic();
	return {
		sinceArrivalMs: Math.round(now - arrivedAt), remainingMs: Math.round(deadlineAt - now), loopDelayMs: Math.round(lag.loopDelayMs), acceptBacklogMs: Math.round(lag.acceptBacklogMs),
	};
};
