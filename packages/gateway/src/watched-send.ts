/** Decides how long a request without an answer may wait at its upstream. */
import type {UnansweredSend} from './expiry-watch.js';
import {CancellationError} from './send-result.js';
import type {TransmitOptions} from './transmit-options.js';
import type {WrittenSend} from './written-send.js';

type WatchedOptions = Pick<TransmitOptions, 'context' | 'request' | 'msUntilCancel' | 'canRetryElsewhere'>;

/** @returns the request as it is to be added to the watch for expiring versions and leaving upstreams */
export const watchedSend = ({context, request, msUntilCancel, canRetryElsewhere}: WatchedOptions, {written, abort}: {
	/** Undefined until the request is written. */
	readonly written: () => WrittenSend | undefined;
	readonly abort: (reason: Error) => void;
}): UnansweredSend => ({
	msUntilCancel() {
		const untilExpiry = msUntilCancel();
		const untilMove = written()?.msUntilMove;
		return untilMove === undefined || !canRetryElsewhere() ? untilExpiry : Math.min(untilMove, untilExpiry ?? untilMove);
	},
	cancel() {
		context.metrics.count('gateway.cancelled', {service: request.service});
		abort(new CancellationError('the upstream leaves, or its version is about to expire'));
	},
});
