/** The queues of an entry, one for each model or service whose calls have had to wait. */
import type {Target} from './call.js';
import type {Router} from './router.js';
import type {PeriodicCheck} from './supervisor.js';
import {TargetQueue, type QueueResult, type WaitingCall} from './target-queue.js';

/** Creates queues on demand, and expires and admits waiting calls at each periodic check. */
export class TargetQueues implements PeriodicCheck {
	readonly #router: Router;
	readonly #queues = new Map<string, TargetQueue>();

	constructor({router}: {readonly router: Router}) {
		this.#router = router;
	}

	/** Whether a call to the target need not wait: no other call waits, and an agent has free capacity. */
	admitsImmediately(target: Target): boolean {
		return (this.#queues.get(target.key)?.length ?? 0) === 0 && !this.#router.isFull(target);
	}

	/** See `TargetQueue.enter`. */
	async enter(target: Target, call: WaitingCall): Promise<QueueResult> {
		return this.#getOrCreateQueue(target).enter(call);
	}

	/** Admits the next waiting call to the target if an agent has free capacity. */
	admitNext(target: Target): void {
		const queue = this.#queues.get(target.key);
		if (queue && queue.length > 0) {
			queue.admitNext();
		}
	}

	/** Also admits calls, because capacity can become free without the end of a call of this entry, when other entries use less. */
	check(now: number): void {
		for (const queue of this.#queues.values()) {
			queue.expire(now);
			queue.admitNext();
		}
	}

	#getOrCreateQueue(target: Target): TargetQueue {
		const known = this.#queues.get(target.key);
		if (known) {
			return known;
		}

		const queue = new TargetQueue({isFull: () => this.#router.isFull(target), capacity: () => this.#router.totalCapacity(target)});
		this.#queues.set(target.key, queue);
		return queue;
	}
}
