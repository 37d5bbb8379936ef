/** Since when a revision of the store may exist: answers tell the store's revision, and calls know when they were sent. */
import {MAX_REVISION_TIMES} from './constants.js';

type RevisionTime = {readonly revision: number; readonly at: number};

export class RevisionTimes {
	/** Rising in both fields. */
	#times: readonly RevisionTime[] = [];

	/** Notes that at this monotonic time or later the store was at the revision. */
	note(revision: number, at: number): void {
		const earlier = this.#times.filter(time => time.revision < revision && time.at < at);
		const later = this.#times.filter(time => time.revision >= revision && time.at > at);
		const isImplied = this.#times.some(time => time.revision <= revision && time.at >= at);
		this.#times = [...(isImplied ? this.#times : [...earlier, {revision, at}, ...later])].slice(-MAX_REVISION_TIMES);
	}

	/** Latest known time at which an item of this revision was not written yet. */
	notWrittenAt(revision: number): number | undefined {
		return this.#times.findLast(time => time.revision < revision)?.at;
	}
}
