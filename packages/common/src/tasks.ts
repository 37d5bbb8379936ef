/** Helpers for tasks that run until a signal aborts them. */
import {TypedError} from './errors.js';

/** Waits; resolves early when the signal aborts. */
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

/** Runs the step again and again until the signal aborts. A step that throws is reported and the loop goes on. */
export const repeatUntilAborted = async (step: () => Promise<void>, {signal, pauseMs, onError}: {
	readonly signal: AbortSignal;

	/** Pause between two steps, in milliseconds. */
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

/** Rejects with kind `timeout` when the work takes longer than the limit. The work itself is not stopped. */
export const withTimeout = async <Value>(work: Promise<Value>, milliseconds: number, subject: string): Promise<Value> => {
	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<never>((_resolve, reject) => {
		timer = setTimeout(() => {
			reject(new TypedError({kind: 'timeout', detail: `${subject} took longer than ${milliseconds} ms.`, remedy: 'Try again later.'}));
		}, milliseconds);
	});
	try {
		return await Promise.race([work, limit]);
	} finally {
		clearTimeout(timer);
	}
};
