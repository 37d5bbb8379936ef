import {Err, type Clock, type Result} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';

/** The result of a call to the platform, or an `unknown-outcome` error if it takes longer than `timeoutMs`: the call may still take effect. */
export const callWithTimeout = async <Value>(work: Promise<Result<Value, PlatformError>>, {clock, timeoutMs, subject}: {
	readonly clock: Clock;
	readonly timeoutMs: number;
	readonly subject: string;
}): Promise<Result<Value, PlatformError>> => {
	const finished = new AbortController();
	const timeOut = async (): Promise<Result<Value, PlatformError>> => {
		await clock.sleep(timeoutMs, finished.signal);
		return Err(new PlatformError({kind: 'unknown-outcome', detail: `${subject} took longer than ${timeoutMs} ms.`, remedy: 'Read back before repeating it.'}));
	};

	try {
		return await Promise.race([work, timeOut()]);
	} finally {
		finished.abort();
	}
};
