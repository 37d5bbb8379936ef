import type {Log, LogFields} from './log.js';
import type {Metrics} from './metrics.js';

/** Properties that a process checks of itself while it runs. */
export type Invariant = 'revision-rises' | 'stop-cuts-nothing' | 'runs-once';

/** Counter of violations, also in `status.report`. */
export const BROKEN_INVARIANTS_METRIC = 'invariants.broken';

/**
Checks invariants inside the program, apart from the code that keeps them.

A violation is logged and counted; the process goes on, because stopping would cut requests that are not affected.
*/
export class Invariants {
	readonly #log: Log;
	readonly #metrics: Pick<Metrics, 'count'>;

	constructor({log, metrics}: {readonly log: Log; readonly metrics: Pick<Metrics, 'count'>}) {
		this.#log = log;
		this.#metrics = metrics;
	}

	/** @returns whether the invariant holds. */
	check(invariant: Invariant, holds: boolean, fields: LogFields = {}): boolean {
		if (!holds) {
			this.#metrics.count(BROKEN_INVARIANTS_METRIC, {invariant});
			this.#log.error('An invariant is broken. Keep the logs and report it.', {invariant, ...fields});
		}

		return holds;
	}
}
