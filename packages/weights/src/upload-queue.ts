/**
Slots for uploads to peers, shared fairly: the peer that has received the fewest bytes lately goes first.

Peers that pass the chunk on to a whole region go before the others.
*/
import type {Clock} from '@yuccawood/common';
import {UPLOAD_SLOTS} from './constants.js';

type Waiting = {readonly peer: string; readonly isRelay: boolean; readonly start: () => void};

/** Half-life of the bytes counted for a peer. */
const HALF_LIFE_MS = 1000;

export class UploadQueue {
	readonly #clock: Clock;
	readonly #slots: number;
	readonly #waiting: Waiting[] = [];
	readonly #sent = new Map<string, {bytes: number; at: number}>();
	#active = 0;

	constructor({clock, slots = UPLOAD_SLOTS}: {readonly clock: Clock; readonly slots?: number}) {
		this.#clock = clock;
		this.#slots = slots;
	}

	/** Waits for a slot. @returns a function that frees it, or nothing when the signal aborted first. */
	async acquire(peer: string, signal: AbortSignal, isRelay = false): Promise<(() => void) | undefined> {
		if (signal.aborted) {
			return undefined;
		}

		if (this.#active >= this.#slots) {
			const isStarted = await this.#wait(peer, signal, isRelay);
			if (signal.aborted) {
				// The slot was given to this request just before it was aborted; the next one must not miss it.
				if (isStarted) {
					this.#startNext();
				}

				return undefined;
			}
		}

		this.#active++;
		let isFreed = false;
		return () => {
			if (!isFreed) {
				isFreed = true;
				this.#active--;
				this.#startNext();
			}
		};
	}

	/** Counts bytes sent to a peer. */
	record(peer: string, bytes: number): void {
		this.#sent.set(peer, {bytes: this.#recentBytes(peer) + bytes, at: this.#clock.monotonic()});
	}

	/** @returns whether a slot became free before the signal aborted. */
	async #wait(peer: string, signal: AbortSignal, isRelay: boolean): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			const waiting: Waiting = {
				peer,
				isRelay,
				start() {
					signal.removeEventListener('abort', abandon);
					resolve(true);
				},
			};
			const abandon = (): void => {
				const index = this.#waiting.indexOf(waiting);
				if (index !== -1) {
					this.#waiting.splice(index, 1);
				}

				resolve(false);
			};

			signal.addEventListener('abort', abandon, {once: true});
			this.#waiting.push(waiting);
		});
	}

	#startNext(): void {
		let best: Waiting | undefined;
		let fewest = Number.POSITIVE_INFINITY;
		for (const waiting of this.#waiting) {
			const bytes = this.#recentBytes(waiting.peer);
			if (best ? (waiting.isRelay === best.isRelay ? bytes < fewest : waiting.isRelay) : true) {
				best = waiting;
				fewest = bytes;
			}
		}

		if (best) {
			this.#waiting.splice(this.#waiting.indexOf(best), 1);
			best.start();
		}
	}

	#recentBytes(peer: string): number {
		const sent = this.#sent.get(peer);
		return sent ? sent.bytes * (0.5 ** ((this.#clock.monotonic() - sent.at) / HALF_LIFE_MS)) : 0;
	}
}
