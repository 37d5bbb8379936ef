import type {Stream} from 'most';

/** Phases of a process, in order. */
export type Phase = 'starting' | 'serving' | 'draining' | 'stopped';

/** Where a sign to leave came from. */
export type LeaveSign = 'signal' | 'configuration' | 'vm-list';

/** Phase of this process. Draining refuses new work at once and finishes what runs. */
export interface Lifecycle {
	readonly phase: Phase;
	readonly changes: Stream<Phase>;

	/** Starts draining; repeated calls have no further effect. */
	readonly drain: (sign: LeaveSign) => void;

	/** Returns to serving when the sign was withdrawn and came from the configuration. */
	readonly resume: () => void;
}
