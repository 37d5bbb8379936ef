import type {Log, LogFields} from './log.js';
import type {Metrics} from './metrics.js';

/**
Properties that a process checks while it runs.

- `revision-rises`: each revision of the configuration that takes effect is higher than all before it.
- `stop-cuts-nothing`: a graceful stop leaves no request in progress.
- `runs-once`: an agent runs each request id at most once.
*/
export type Invariant = 'revision-rises' | 'stop-cuts-nothing' | 'runs-once';

/** Counter of violations, tagged with the invariant. `status.report` contains it too. */
export const INVARIANT_VIOLATIONS_METRIC = 'invariants.broken';

/**
Checks invariants at run time, separately from the code that maintains them.

A violation is logged and counted. The process keeps running, because exiting would interrupt requests that the violation does not affect.
*/
export class InvariantChecker {
	readonly #log: Log;
	readonly #metrics: Pick<Metrics, 'count'>;

	constructor({log, metrics}: {readonly log: Log; readonly metrics: Pick<Metrics, 'count'>}) {
		this.#log = log;
		this.#metrics = metrics;
	}

	/**
	@param fields added to the log line of a violation.
	@returns `holds`, unchanged.
	*/
	check(invariant: Invariant, holds: boolean, fields: LogFields = {}): boolean {
		if (!holds) {
			this.#metrics.count(INVARIANT_VIOLATIONS_METRIC, {invariant});
			this.#log.error('Invariant violated. Save the logs of this process and report the violation.', {invariant, ...fields});
		}

		return holds;
	}
}
