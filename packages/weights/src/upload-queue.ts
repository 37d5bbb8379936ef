/**
Queue for a limited number of upload slots. A free slot goes to the peer that has received the fewest bytes recently, so
that one peer cannot take the whole link.

Peers that relay a chunk to their whole region go before all others.
*/
import type {Clock} from '@yuccawood/common';
import {UPLOAD_SLOTS} from './constants.js';

type QueuedUpload = {readonly peer: string; readonly isRelay: boolean; readonly start: () => void};

/** Half-life of the count of bytes sent to a peer. */
const SENT_BYTES_HALF_LIFE_MS = 1000;

export class UploadQueue {
	readonly #clock: Clock;
	readonly #slots: number;
	readonly #queue: QueuedUpload[] = [];
	readonly #sentBytes = new Map<string, {bytes: number; at: number}>();
	#usedSlots = 0;

	constructor({clock, slots = UPLOAD_SLOTS}: {readonly clock: Clock; readonly slots?: number}) {
		this.#clock = clock;
		this.#slots = slots;
	}

	/** Waits for a slot. @returns a function that releases it, or `undefined` if the signal aborted first. */
	async acquire(peer: string, signal: AbortSignal, isRelay = false): Promise<(() => void) | undefined> {
		if (signal.aborted) {
			return undefined;
		}

		if (this.#usedSlots >= this.#slots) {
			const hasSlot = await this.#wait(peer, signal, isRelay);
			if (signal.aborted) {
				// The request got the slot just before it was aborted, so the slot goes to the next one.
				if (hasSlot) {
					this.#startNext();
				}

				return undefined;
			}
		}

		this.#usedSlots++;
		let isReleased = false;
		return () => {
			if (!isReleased) {
				isReleased = true;
				this.#usedSlots--;
				this.#startNext();
			}
		};
	}

	/** Adds bytes sent to a peer to its count. */
	record(peer: string, bytes: number): void {
		this.#sentBytes.set(peer, {bytes: this.#recentBytes(peer) + bytes, at: this.#clock.monotonic()});
	}

	/** @returns whether this request got a slot before the signal aborted. */
	async #wait(peer: string, signal: AbortSignal, isRelay: boolean): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			const queued: QueuedUpload = {
				peer,
				isRelay,
				start() {
					signal.removeEventListener('abort', leaveQueue);
					resolve(true);
				},
			};
			const leaveQueue = (): void => {
				const index = this.#queue.indexOf(queued);
				if (index !== -1) {
					this.#queue.splice(index, 1);
				}

				resolve(false);
			};

			signal.addEventListener('abort', leaveQueue, {once: true});
			this.#queue.push(queued);
		});
	}

	/** Gives a slot to the queued request that comes first: relays first, then by the fewest bytes sent recently. */
	#startNext(): void {
		let next: QueuedUpload | undefined;
		let fewestBytes = Number.POSITIVE_INFINITY;
		for (const queued of this.#queue) {
			const bytes = this.#recentBytes(queued.peer);
			if (next ? (queued.isRelay === next.isRelay ? bytes < fewestBytes : queued.isRelay) : true) {
				next = queued;
				fewestBytes = bytes;
			}
		}

		if (next) {
			this.#queue.splice(this.#queue.indexOf(next), 1);
			next.start();
		}
	}

	/** Bytes sent to the peer, decayed by the half-life. */
	#recentBytes(peer: string): number {
		const sent = this.#sentBytes.get(peer);
		return sent ? sent.bytes * (0.5 ** ((this.#clock.monotonic() - sent.at) / SENT_BYTES_HALF_LIFE_MS)) : 0;
	}
}
