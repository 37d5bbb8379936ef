/**
A signal that aborts with another one or after a time.

`AbortSignal.any` of Node.js 20 holds its sources weakly, so a timeout signal that is used only there can be
garbage-collected before it fires.

@param milliseconds time after which the signal aborts.
*/
export const limitSignal = (signal: AbortSignal, milliseconds: number): {readonly signal: AbortSignal; readonly release: () => void} => {
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
