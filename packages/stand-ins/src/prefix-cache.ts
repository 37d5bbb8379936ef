/** LRU cache of prompt prefixes in blocks of 64 characters. Its events are published late and with gaps. */
import {createHash} from 'node:crypto';
import type {Clock, Random} from '@yuccawood/common';

export type CacheEvent = {
	/** Number of the event. Unpublished events are counted too, so a missing number shows a gap. */
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';

	/** Hash of the prompt from its beginning to the end of the block: 32 hexadecimal digits. */
	readonly block: string;
};

const BLOCK_CHARACTERS = 64;

/** Minimum number of latest events that are kept. Readers who come later see older events as a gap. */
const MAX_EVENTS = 10_000;

export class PrefixCache {
	readonly #capacity: number;
	readonly #lagMs: number;
	readonly #gapShare: number;
	readonly #random: Random;
	readonly #clock: Clock;
	readonly #blocks = new Set<string>();
	#events: Array<CacheEvent & {readonly visibleAt: number}> = [];
	#sequence = 0;

	constructor({capacity, lagMs, gapShare, random, clock}: {
		/** Maximum number of blocks. */
		readonly capacity: number;
		readonly lagMs: number;
		readonly gapShare: number;
		readonly random: Random;
		readonly clock: Clock;
	}) {
		this.#capacity = capacity;
		this.#lagMs = lagMs;
		this.#gapShare = gapShare;
		this.#random = random;
		this.#clock = clock;
	}

	/**
	Looks up a prompt and stores its blocks.

	@param scope text that separates prompts of different versions, for example the manifest hash.
	@returns the number of whole blocks of the prompt, and how many leading blocks of them were cached.
	*/
	use(scope: string, prompt: string): {readonly blocks: number; readonly hits: number} {
		const hash = createHash('sha256').update(scope);
		const count = Math.floor(prompt.length / BLOCK_CHARACTERS);
		let hits = 0;
		let isHit = true;
		for (let index = 0; index < count; index++) {
			hash.update(prompt.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS));
			const block = hash.copy().digest('hex').slice(0, 32);
			isHit &&= this.#blocks.has(block);
			hits += isHit ? 1 : 0;
			this.#store(block);
		}

		return {blocks: count, hits};
	}

	/** Events with a higher sequence number that have been published by now. */
	eventsAfter(sequence: number): readonly CacheEvent[] {
		const now = this.#clock.monotonic();
		return this.#events
			.filter(event => event.sequence > sequence && event.visibleAt <= now)
			.map(event => ({sequence: event.sequence, kind: event.kind, block: event.block}));
	}

	clear(): void {
		this.#blocks.clear();
		this.#events = [];
	}

	#store(block: string): void {
		if (this.#blocks.delete(block)) {
			this.#blocks.add(block);
			return;
		}

		this.#blocks.add(block);
		this.#publish('stored', block);
		if (this.#blocks.size > this.#capacity) {
			const [oldest] = this.#blocks;
			this.#blocks.delete(oldest);
			this.#publish('evicted', oldest);
		}
	}

	#publish(kind: CacheEvent['kind'], block: string): void {
		this.#sequence++;
		if (this.#random.next() < this.#gapShare) {
			return;
		}

		this.#events.push({
			sequence: this.#sequence, kind, block, visibleAt: this.#clock.monotonic() + this.#lagMs,
		});
		if (this.#events.length > 2 * MAX_EVENTS) {
			this.#events = this.#events.slice(-MAX_EVENTS);
		}
	}
}
