/**
Decides whether a report of an upstream is older than what is known of it. Performs no I/O.

Load pattern: a partition holds up a report. The upstream leaves, on another connection, and the old report takes effect in the store
after that, as its newest change.
*/
import {LATE_REPORT_WINDOW_MS} from './constants.js';
import type {Upstream} from './types.js';

type Report = Pick<Upstream, 'startedAt' | 'sequence'>;

/** Whether a report was written before another one of the same id. Reports without a start time can't be told apart from those of another start. */
export const isOutdated = (report: Report, known: Report): boolean => {
	if (report.startedAt === undefined || known.startedAt === undefined) {
		return false;
	}

	return report.startedAt < known.startedAt
		|| (report.startedAt === known.startedAt && report.sequence !== undefined && known.sequence !== undefined && report.sequence < known.sequence);
};

/** The upstreams that have left the list lately. */
export class LeftUpstreams {
	readonly #left = new Map<string, {readonly startedAt: number; readonly at: number}>();

	/** @param now monotonic milliseconds */
	record({id, startedAt}: Pick<Upstream, 'id' | 'startedAt'>, now: number): void {
		this.#deleteOld(now);
		if (startedAt !== undefined) {
			this.#left.set(id, {startedAt, at: now});
		}
	}

	/**
	Whether a report may have been written before its upstream left. Its number doesn't tell: entries change only when more than the
	number does, so the last one that is known may be much older than the leaving.
	*/
	mayPrecedeLeaving({id, startedAt}: Pick<Upstream, 'id' | 'startedAt'>, now: number): boolean {
		this.#deleteOld(now);
		const left = this.#left.get(id);
		return left !== undefined && startedAt !== undefined && startedAt <= left.startedAt;
	}

	#deleteOld(now: number): void {
		for (const [id, {at}] of this.#left) {
			if (now - at >= LATE_REPORT_WINDOW_MS) {
				this.#left.delete(id);
			}
		}
	}
}
