import {Err, type Clock, type Result} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';

/** The result of a call to the platform, or `unknown-outcome` if it takes too long. */
export const limitedCall = async <Value>(work: Promise<Result<Value, PlatformError>>, {clock, timeoutMs, subject}: {
	readonly clock: Clock;
	readonly timeoutMs: number;
	readonly subject: string;
}): Promise<Result<Value, PlatformError>> => {
	const ended = new AbortController();
	const limit = async (): Promise<Result<Value, PlatformError>> => {
		await clock.sleep(timeoutMs, ended.signal);
		return Err(new PlatformError({kind: 'unknown-outcome', detail: `${subject} took longer than ${timeoutMs} ms.`, remedy: 'Read back before repeating it.'}));
	};

	try {
		return await Promise.race([work, limit()]);
	} finally {
		ended.abort();
	}
};
