import type {TransmitOptions} from './transmit-options.js';
import type {AnswerHeaders} from './types.js';

/** Records what the head of an answer says about the absence of its upstream. */
export const recordAnnouncement = (
	{isLeaving, refusesForMs}: Pick<AnswerHeaders, 'isLeaving' | 'refusesForMs'>,
	{context: {clock, decisions, metrics}, request: {requestId, service}, state}: Pick<TransmitOptions, 'context' | 'request' | 'state'>,
): void => {
	const {announcement, upstream} = state;
	if (isLeaving && !announcement.isLeaving) {
		announcement.isLeaving = true;
		metrics.count('gateway.leaving_upstreams', {service});
		decisions.unusual(requestId, 'An upstream leaves.', () => ({upstream: upstream.id, address: upstream.address}));
	}

	if (refusesForMs !== undefined) {
		announcement.recordRefusal(clock.monotonic() + refusesForMs);
		metrics.count('gateway.refusing_upstreams', {service});
		decisions.unusual(requestId, 'An upstream wants no requests for a while.', () => ({upstream: upstream.id, address: upstream.address, forMs: Math.round(refusesForMs)}));
	}
};
