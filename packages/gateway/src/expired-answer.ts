/** Reports answers from versions that had expired when the answer began, although the request should have been cancelled. */
import type {AcceptedRequest} from './accepted-request.js';
import type {GatewayContext} from './gateway-context.js';
import type {UpstreamState} from './upstream-state.js';

export type ExpiredAnswer = {
	readonly request: Pick<AcceptedRequest, 'requestId' | 'service'>;
	readonly state: UpstreamState;
	readonly version: number;

	/** Time in milliseconds since the version expired. */
	readonly expiredMs: number;

	/** Monotonic milliseconds. */
	readonly sentAt: number;

	/**
	Time in milliseconds that was left at the send until the request had to be cancelled. It tells an expiry that was not
	known (undefined) from one that was counted too late and from a late cancellation.
	*/
	readonly msUntilCancelAtSend: number | undefined;
};

export const reportExpiredAnswer = (
	{clock, decisions, metrics}: Pick<GatewayContext, 'clock' | 'decisions' | 'metrics'>,
	{request, state, version, expiredMs, sentAt, msUntilCancelAtSend}: ExpiredAnswer,
): void => {
	const now = clock.monotonic();
	metrics.count('gateway.expired_answers', {service: request.service});
	decisions.unusual(request.requestId, 'An upstream answered from an expired version.', () => ({
		upstream: state.upstream.id, version, expiredMs: Math.round(expiredMs), sentMsAgo: Math.round(now - sentAt),
		msUntilCancelAtSend: msUntilCancelAtSend === undefined ? undefined : Math.round(msUntilCancelAtSend),
		heldVersion: state.heldVersion(now), listedVersion: state.upstream.model?.version,
	}));
};
