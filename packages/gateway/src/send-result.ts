/** Result of sending a request to one upstream once, and the reasons for which an entry ends such an attempt itself. */
import type {SendFailure} from '@yuccawood/dispatch';
import type {BufferedAnswer} from './answer-sinks.js';
import {MAX_BYTES_WITHOUT_EVENT} from './constants.js';
import type {StreamFault} from './event-stream.js';

/** Why a request ended before its answer was complete: the caller disconnected, the deadline passed, upstreams crash under it, or the entry stops. */
export type EarlyEnd = 'caller' | 'deadline' | 'block' | 'stop';

/** Result of one attempt. `mayHaveRun` is false only if the upstream certainly did not run the request. */
export type SendResult = {readonly mayHaveRun: boolean} & (
	{readonly kind: 'delivered'}
	| {readonly kind: 'failed'; readonly failure: SendFailure; readonly detail: string; readonly bufferedAnswer?: BufferedAnswer; readonly isMisdirected?: boolean; readonly isCancelled?: boolean; readonly isSilence?: boolean; readonly isSuspect?: boolean; readonly isOutdated?: boolean}
	| {
		readonly kind: 'ended'; readonly by: EarlyEnd;

		/** Whether the upstream had sent no data for longer than its load explains. */
		readonly isSilence: boolean;
	}
);

/** Whether a part of the request was written for the upstream. */
export const wasWritten = (result: SendResult): boolean => result.mayHaveRun || (result.kind === 'failed' && result.failure === 'not-run');

/** Result of an attempt that brought no complete answer, although the upstream may have run the request. */
export const brokenRun = (detail: string, failure: 'unknown' | 'answered-error' = 'unknown'): SendResult & {readonly kind: 'failed'} => ({
	kind: 'failed', failure, detail, mayHaveRun: true,
});

/** The upstream sent no data for longer than its load explains. */
export class SilenceError extends Error {}

/** The look at the caller's connection was too long ago when the connection to the upstream was open. */
export class OutdatedSendError extends Error {}

/** The version that the upstream holds is about to expire. */
export class CancellationError extends Error {}

export const STREAM_FAULT_MESSAGES: Readonly<Record<StreamFault, string>> = {
	gap: 'event numbers are missing in the stream',
	'no-event': `no new event in ${MAX_BYTES_WITHOUT_EVENT} bytes`,
};

export type SendFailureContext = {
	/** Whether the request was at least partly written, so that the upstream may have run it. */
	readonly wasSent: boolean;

	/** Why this entry ended the request; undefined if it did not. */
	readonly by: EarlyEnd | undefined;

	/** Whether the upstream had sent no data for longer than its load explains. */
	readonly isSilent: boolean;

	/** The part of the answer that arrived, unless it is a stream. */
	readonly bufferedAnswer: BufferedAnswer | undefined;
};

/** Result of an attempt that ended with this error. */
export const resultOfError = (error: Error, {wasSent, by, isSilent, bufferedAnswer}: SendFailureContext): SendResult => {
	if (by) {
		return {
			kind: 'ended', by, mayHaveRun: wasSent, isSilence: isSilent,
		};
	}

	const cause = {isCancelled: error instanceof CancellationError, isSilence: error instanceof SilenceError};
	return wasSent
		? {...brokenRun(error.message), ...cause, bufferedAnswer}
		: {
			...cause, kind: 'failed', failure: 'not-sent', detail: error.message, mayHaveRun: false, isOutdated: error instanceof OutdatedSendError,
		};
};
