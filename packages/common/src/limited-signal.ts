/**
Derives a signal that aborts when the given signal aborts or when the time is over, whichever comes first.

It replaces `AbortSignal.any` with `AbortSignal.timeout`: in Node.js 20, `AbortSignal.any` references its sources weakly, so a
timeout signal that nothing else references can be garbage-collected before it fires.

@param milliseconds time after which the derived signal aborts.
@returns the derived signal, and `release`, which clears the timer and the listener; call it when the work is done.
*/
export const signalWithTimeout = (signal: AbortSignal, milliseconds: number): {readonly signal: AbortSignal; readonly release: () => void} => {
	const controller = new AbortController();
	const abort = (): void => {
		controller.abort();
	};

	const timer = setTimeout(abort, milliseconds);
	signal.addEventListener('abort', abort, {once: true});
	if (signal.aborted) {
		abort();
	}

	return {
		signal: controller.signal,
		release() {
			clearTimeout(timer);
			signal.removeEventListener('abort', abort);
		},
	};
};
