/** What the follower of one part of the store is created from. */
import type {
	Clock, Log, Metrics, Random,
} from '@yuccawood/common';
import type {ItemLog} from './item-log.js';
import type {ItemSource, StoreItem, StorePart} from './item-source.js';
import type {RevisionTimes} from './revision-times.js';

/**
`delivered`: a watch reported the change when it happened. `read`: this process read the item some time after the change.
`copied`: the store has gone back to a copy of itself, and the item may be older than what is in force.
*/
export type LearnedBy = 'delivered' | 'read' | 'copied';

export type ItemsListener = (items: readonly StoreItem[], learnedBy: LearnedBy) => void;

export type PartFollowerOptions = {
	readonly part: StorePart;
	readonly source: ItemSource;
	readonly items: ItemLog;
	readonly times: RevisionTimes;
	readonly onItems: ItemsListener;

	/** Whether all changes of the store up to the revision were received, by this part or others. */
	readonly isRevisionSeen: (revision: number) => boolean;

	/** Called after each response, when the part is known up to some revision. */
	readonly onRevisionKnown: () => void;

	/** Called when a call fails. @returns whether the store answers other calls */
	readonly onCallFailed: (error: unknown) => Promise<boolean>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};
