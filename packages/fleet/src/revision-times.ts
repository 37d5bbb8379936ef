/**
Records when the store was at which revision, to bound the age of items. Each response contains the store's revision, which
the store had when the call was sent or later, so newer revisions did not exist when the call was sent.
*/
import {MAX_REVISION_TIMES} from './constants.js';

type RevisionTime = {readonly revision: number; readonly at: number};

export class RevisionTimes {
	/** Ascending in both fields. */
	#times: readonly RevisionTime[] = [];

	/** Records that the store had no newer revision than this one at a monotonic time in milliseconds. */
	record(revision: number, at: number): void {
		const earlier = this.#times.filter(time => time.revision < revision && time.at < at);
		const later = this.#times.filter(time => time.revision >= revision && time.at > at);
		const isImplied = this.#times.some(time => time.revision <= revision && time.at >= at);
		this.#times = [...(isImplied ? this.#times : [...earlier, {revision, at}, ...later])].slice(-MAX_REVISION_TIMES);
	}

	/** Latest known monotonic time, in milliseconds, at which this revision did not exist yet; undefined when unknown. */
	latestTimeBefore(revision: number): number | undefined {
		return this.#times.findLast(time => time.revision < revision)?.at;
	}
}
