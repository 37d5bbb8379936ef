import type {Lifecycle} from './types.js';

/** The part of Node's `process` that delivers signals. */
export type SignalSource = {
	readonly on: (signal: 'SIGTERM' | 'SIGINT', listener: () => void) => unknown;
	readonly off: (signal: 'SIGTERM' | 'SIGINT', listener: () => void) => unknown;
};

const SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
Drains the process on SIGTERM and SIGINT. A repeated signal does not end the process before it has drained.

@returns a function that removes the signal listeners.
*/
export const drainOnSignals = ({lifecycle, source}: {
	readonly lifecycle: Pick<Lifecycle, 'drain'>;
	readonly source: SignalSource;
}): (() => void) => {
	const listener = (): void => {
		lifecycle.drain('signal');
	};

	for (const signal of SIGNALS) {
		source.on(signal, listener);
	}

	return () => {
		for (const signal of SIGNALS) {
			source.off(signal, listener);
		}
	};
};
