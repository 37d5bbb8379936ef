/**
Decides how long a stopping entry still counts as ready.

While entries are stopped one after the other, the last one may stop before the first one is back. It goes on taking
connections until another entry does. Entries that stop at the same time can't help each other, and if two of them went on, the
platform would count a stop as not begun. So at most the one that was stopped last waits, and
beyond the time that all may take only the one that has the store's claim.
*/
import {MAX_READY_WHEN_ALONE_MS, MAX_READY_WHEN_UNSURE_MS, SIMULTANEOUS_STOPS_MS} from './constants.js';

/** What an entry says of itself. `forMs` is the time since it was asked to stop. */
export type EntryState = {readonly kind: 'ready'} | {readonly kind: 'starting'} | {readonly kind: 'stopping'; readonly forMs: number};

/** Another entry, as seen by this one; `silent` if it did not answer. */
export type ObservedEntry = EntryState | {readonly kind: 'silent'};

export type HandoverSituation = {
	/** Milliseconds since this entry was asked to stop, and until its process is killed. */
	readonly stoppingMs: number;
	readonly graceMs: number;

	/** Whether the list of entries contains this one. Otherwise it may lack others, too. */
	readonly isListed: boolean;

	/** Whether the store has granted this entry, and no other one, to stay on. Lists and answers of peers can differ between entries. */
	readonly hasClaim: boolean;
	readonly others: readonly ObservedEntry[];
};

/** Whether another entry takes connections now, or stays on in place of this one. @param stoppingMs time since this one was asked to stop */
export const isReplacement = (other: ObservedEntry, stoppingMs: number): boolean =>
	other.kind === 'ready' || (other.kind === 'stopping' && other.forMs < stoppingMs + SIMULTANEOUS_STOPS_MS);

/**
Whether another entry takes connections for longer than this one. Of entries that stop, those that were stopped first leave first:
the sooner they have ended, the sooner one is back. @param stoppingMs time since this one was asked to stop
*/
export const outlasts = (other: ObservedEntry, stoppingMs: number): boolean =>
	other.kind === 'ready' || (other.kind === 'stopping' && other.forMs + SIMULTANEOUS_STOPS_MS < stoppingMs);

/** Time after SIGTERM, in milliseconds, until which an entry may count as ready. It holds whatever becomes known later, or fails to. */
export const readinessLimitMs = ({graceMs, isListed, hasClaim, others}: Pick<HandoverSituation, 'graceMs' | 'isListed' | 'hasClaim' | 'others'>): number => {
	const isSure = hasClaim && isListed && others.every(({kind}) => kind !== 'silent');
	return Math.min(isSure ? MAX_READY_WHEN_ALONE_MS : MAX_READY_WHEN_UNSURE_MS, graceMs / 2);
};

export const staysReady = (situation: HandoverSituation): boolean => {
	const {stoppingMs, others} = situation;
	return stoppingMs < readinessLimitMs(situation) && !others.some(other => isReplacement(other, stoppingMs));
};
