/** Helpers for waiting, periodic tasks and timeouts. */
import {TypedError} from './errors.js';

/** Resolves after the time, or as soon as the signal aborts. It never rejects. */
export const delay = async (milliseconds: number, signal?: AbortSignal): Promise<void> => {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = (): void => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, milliseconds);
		signal?.addEventListener('abort', finish, {once: true});
	});
};

/** Runs the step repeatedly until the signal aborts. An error of a step is passed to `onError` and the loop continues. */
export const runPeriodically = async (step: () => Promise<void>, {signal, pauseMs, onError}: {
	readonly signal: AbortSignal;

	/** Pause after each step, in milliseconds. */
	readonly pauseMs: number | (() => number);
	readonly onError: (error: unknown) => void;
}): Promise<void> => {
	while (!signal.aborted) {
		try {
			await step();
		} catch (error) {
			onError(error);
		}

		await delay(typeof pauseMs === 'number' ? pauseMs : pauseMs(), signal);
	}
};

/**
Settles as the work does, unless that takes longer than the time. The work itself is not stopped.

@param subject beginning of the error message, naming the work.
@throws {TypedError} of kind `timeout`.
*/
export const withTimeout = async <Value>(work: Promise<Value>, milliseconds: number, subject: string): Promise<Value> => {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<never>((_resolve, reject) => {
		timer = setTimeout(() => {
			reject(new TypedError({kind: 'timeout', detail: `${subject} took longer than ${milliseconds} ms.`, remedy: 'Try again later.'}));
		}, milliseconds);
	});
	try {
		return await Promise.race([work, timeout]);
	} finally {
		clearTimeout(timer);
	}
};
