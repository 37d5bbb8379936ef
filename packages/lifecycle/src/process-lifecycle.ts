import {Publisher, type Log} from '@yuccawood/common';
import type {Stream} from 'most';
import type {LeaveReason, Lifecycle, Phase} from './types.js';

/**
Phase of this process and the reasons for which it was asked to leave.

A process is `starting` first, then `serving` or `draining`. It returns from `draining` to `serving` if all reasons to leave are withdrawn;
`stopped` is final.
*/
export class ProcessLifecycle implements Lifecycle {
	readonly #log: Log;
	readonly #phases = new Publisher<Phase>();
	readonly #leaveReasons = new Set<LeaveReason>();
	#phase: Phase = 'starting';

	constructor({log}: {readonly log: Log}) {
		this.#log = log;
	}

	get phase(): Phase {
		return this.#phase;
	}

	get changes(): Stream<Phase> {
		return this.#phases.changes;
	}

	/**
	Calls the listener synchronously with each phase that `changes` emits.

	@returns a function that removes the listener.
	*/
	readonly onChange = (listener: (phase: Phase) => void): (() => void) => this.#phases.subscribe(listener);

	/** Ends the start of the process: it serves, or drains if it was asked to leave during the start. */
	readonly markServing = (): void => {
		if (this.#phase === 'starting') {
			this.#set(this.#leaveReasons.size > 0 ? 'draining' : 'serving');
		}
	};

	/** Adds a reason to leave, and drains if the process is serving. During the start it only records the reason. */
	readonly drain = (reason: LeaveReason): void => {
		if (this.#leaveReasons.has(reason) || this.#phase === 'stopped') {
			return;
		}

		this.#leaveReasons.add(reason);
		this.#log.info('Sign to leave received.', {sign: reason});
		// Publishes `draining` again for a process that already drains for the configuration: now it has to exit as well.
		if (this.#phase === 'serving' || this.#phase === 'draining') {
			this.#set('draining');
		}
	};

	/** A signal and the list of VMs cannot be withdrawn, so a process that leaves for one of them continues to drain. */
	readonly resume = (): void => {
		this.#leaveReasons.delete('configuration');
		if (this.#phase === 'draining' && this.#leaveReasons.size === 0) {
			this.#set('serving');
		}
	};

	/** True if the process has to exit after draining. A process that drains only for the configuration stays and may resume. */
	get mustExit(): boolean {
		return this.#leaveReasons.has('signal') || this.#leaveReasons.has('vm-list');
	}

	/** Ends the lifecycle; the process then ignores further reasons to leave. */
	readonly markStopped = (): void => {
		if (this.#phase !== 'stopped') {
			this.#set('stopped');
		}
	};

	#set(phase: Phase): void {
		this.#log.info(`Phase changed to ${phase}.`, {from: this.#phase});
		this.#phase = phase;
		this.#phases.publish(phase);
	}
}
