/** Reports answers from versions that had expired when the answer began, although the request should have been cancelled. */
import type {TransmitOptions} from './transmit-options.js';

export type BegunAnswer = {
	/** Version that the answer states; undefined if it states none. */
	readonly version: number | undefined;

	/** Monotonic milliseconds. */
	readonly sentAt: number;

	/**
	Time in milliseconds that was left at the send until the request had to be cancelled. It tells an expiry that was not
	known (undefined) from one that was counted too late and from a late cancellation.
	*/
	readonly msUntilCancelAtSend: number | undefined;
};

/** Reports the answer if its version has expired. */
export const reportExpiredAnswer = (
	{context: {clock, decisions, metrics}, request, state, msSinceExpiry}: Pick<TransmitOptions, 'context' | 'request' | 'state' | 'msSinceExpiry'>,
	{version, sentAt, msUntilCancelAtSend}: BegunAnswer,
): void => {
	const expiredMs = version === undefined ? undefined : msSinceExpiry(version);
	if (expiredMs === undefined) {
		return;
	}

	const now = clock.monotonic();
	metrics.count('gateway.expired_answers', {service: request.service});
	decisions.unusual(request.requestId, 'An upstream answered from an expired version.', () => ({
		upstream: state.upstream.id, version, expiredMs: Math.round(expiredMs), sentMsAgo: Math.round(now - sentAt),
		msUntilCancelAtSend: msUntilCancelAtSend === undefined ? undefined : Math.round(msUntilCancelAtSend),
		heldVersion: state.heldVersion(now), listedVersion: state.upstream.model?.version,
	}));
};
