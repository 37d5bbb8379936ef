import {Publisher, type Log} from '@yuccawood/common';
import type {Stream} from 'most';
import type {LeaveSign, Lifecycle, Phase} from './types.js';

/** Phase of this process, with the transitions that are allowed: starting, serving, draining, stopped. */
export class ProcessLifecycle implements Lifecycle {
	readonly #log: Log;
	readonly #published = new Publisher<Phase>();
	readonly #signs = new Set<LeaveSign>();
	#phase: Phase = 'starting';

	constructor({log}: {readonly log: Log}) {
		this.#log = log;
	}

	get phase(): Phase {
		return this.#phase;
	}

	get changes(): Stream<Phase> {
		return this.#published.changes;
	}

	/** Calls the listener on each change of phase, before the call that caused it returns. @returns a function that ends it. */
	readonly onChange = (listener: (phase: Phase) => void): (() => void) => this.#published.subscribe(listener);

	/** Marks the process as ready. A sign to leave that came during the start has precedence. */
	readonly markServing = (): void => {
		if (this.#phase === 'starting') {
			this.#set(this.#signs.size > 0 ? 'draining' : 'serving');
		}
	};

	readonly drain = (sign: LeaveSign): void => {
		if (this.#signs.has(sign) || this.#phase === 'stopped') {
			return;
		}

		this.#signs.add(sign);
		this.#log.info('Sign to leave received.', {sign});
		// A process drained by the configuration learns from the repeated phase that it now has to exit.
		if (this.#phase === 'serving' || this.#phase === 'draining') {
			this.#set('draining');
		}
	};

	/** Signs from the platform or a signal cannot be withdrawn, so the process then goes on draining. */
	readonly resume = (): void => {
		this.#signs.delete('configuration');
		if (this.#phase === 'draining' && this.#signs.size === 0) {
			this.#set('serving');
		}
	};

	/** True if the process must exit after draining; a process drained by the configuration stays and waits. */
	get mustExit(): boolean {
		return this.#signs.has('signal') || this.#signs.has('vm-list');
	}

	readonly markStopped = (): void => {
		if (this.#phase !== 'stopped') {
			this.#set('stopped');
		}
	};

	#set(phase: Phase): void {
		this.#log.info(`Phase changed to ${phase}.`, {from: this.#phase});
		this.#phase = phase;
		this.#published.publish(phase);
	}
}
