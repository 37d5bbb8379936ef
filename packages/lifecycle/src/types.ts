import type {Stream} from 'most';

/** Phase of a process. A process that drains for the configuration may return from `draining` to `serving`. */
export type Phase = 'starting' | 'serving' | 'draining' | 'stopped';

/** What asked the process to leave: a signal to the process, the section of its VM in the configuration, or the platform's list of VMs. */
export type LeaveReason = 'signal' | 'configuration' | 'vm-list';

/** Phase of this process. A draining process refuses new work and finishes the work in progress. */
export interface Lifecycle {
	readonly phase: Phase;

	/** Emits each new phase. Repeats `draining` when a draining process is asked to leave for another reason. */
	readonly changes: Stream<Phase>;

	/** Starts draining. Further calls with the same reason have no effect. */
	readonly drain: (reason: LeaveReason) => void;

	/** Withdraws the reason `configuration`. Returns to serving if there is no other reason to leave. */
	readonly resume: () => void;
}
