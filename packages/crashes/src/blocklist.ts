/**
Suspects whose requests are rejected. A block ends some time after the latest crash, or when a run went on well.

So that a block never outlasts its cause by long, one entry lets a single request through now and then. Performs no I/O.
*/
import {Publisher, type Clock} from '@yuccawood/common';
import {
	BLOCK_MS, FIRST_TRIAL_MS, MAX_BLOCKS, NEXT_TRIAL_MS,
} from './constants.js';

type Block = {
	/** Whether this entry found the cause itself. Otherwise the block ends with the entry in the store. */
	readonly isOwn: boolean;
	readonly endsAt: number;

	/** Time from which one request may be tried, and the number of those that were. */
	readonly trialAt: number;
	readonly trials: number;
};

export class Blocklist {
	readonly #clock: Clock;
	readonly #blocks = new Map<string, Block>();
	readonly #added = new Publisher<string>();

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	/** Calls the listener at each new block, with the id of the suspect. @returns a function that ends that */
	onBlock(listener: (id: string) => void): () => void {
		return this.#added.subscribe(listener);
	}

	get ids(): readonly string[] {
		return [...this.#blocks.keys()];
	}

	isBlocked(id: string): boolean {
		const block = this.#blocks.get(id);
		return block !== undefined && block.endsAt > this.#clock.monotonic();
	}

	isOwn(id: string): boolean {
		return this.#blocks.get(id)?.isOwn === true;
	}

	/** Time until the suspect may be tried or is no longer blocked, in milliseconds. */
	msUntilTrial(id: string): number {
		const {trialAt, endsAt} = this.#blocks.get(id) ?? {trialAt: 0, endsAt: 0};
		return Math.max(0, Math.min(trialAt, endsAt) - this.#clock.monotonic());
	}

	/** Blocks a suspect, or blocks it anew. */
	add(id: string, {isOwn}: {readonly isOwn: boolean}): void {
		const now = this.#clock.monotonic();
		const isKnown = this.isBlocked(id);
		const before = isKnown ? this.#blocks.get(id) : undefined;
		const trials = before?.trials ?? 0;
		this.#blocks.delete(id);
		this.#blocks.set(id, {
			isOwn: isOwn || before?.isOwn === true, endsAt: now + BLOCK_MS, trialAt: now + (trials === 0 ? FIRST_TRIAL_MS : NEXT_TRIAL_MS), trials,
		});
		if (this.#blocks.size > MAX_BLOCKS) {
			this.#blocks.delete(this.#blocks.keys().next().value!);
		}

		if (!isKnown) {
			this.#added.publish(id);
		}
	}

	/** @returns whether the suspect was blocked */
	remove(id: string): boolean {
		return this.#blocks.delete(id);
	}

	/** Takes the trial of a blocked suspect if it is due. @returns whether the caller may send one request */
	takeTrial(id: string): boolean {
		const block = this.#blocks.get(id);
		if (!block || block.trialAt > this.#clock.monotonic()) {
			return false;
		}

		this.#blocks.set(id, {...block, trialAt: this.#clock.monotonic() + NEXT_TRIAL_MS, trials: block.trials + 1});
		return true;
	}
}
