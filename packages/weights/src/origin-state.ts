/**
Whether the origin sends the chunks of a version, as far as this member knows from its own reads and from its sources.

Load pattern: an origin that goes away in the middle of a transfer. If every member kept asking it for every chunk, failed
reads would take the place of useful ones, and once it is back, all members would read the same chunks from it.

Only own reads limit own reads. What a source outside the region reports is told to members of the region; what these report is
not told on, because two members that wait for each other's chunks would keep each other's reports alive.
*/
import type {Clock} from '@yuccawood/common';
import {ORIGIN_AWAY_MS, ORIGIN_PROBE_INTERVAL_MS} from './constants.js';

/** Monotonic times in milliseconds. */
type FailedReads = {readonly until: number; probedAt: number};

export class OriginState {
	readonly #clock: Clock;

	/** Failed reads of this member, and ends of the absences that sources reported, by the hash of the manifest. */
	readonly #failedReads = new Map<string, FailedReads>();
	readonly #reportedUntil = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Whether a read of this member failed a short time ago, and none has succeeded since. */
	isFailing(manifest: string): boolean {
		return this.#failureOf(manifest) !== undefined;
	}

	/** Whether this member waits for an origin that is away: it fails, or a source outside the region said so a short time ago. */
	isAway(manifest: string): boolean {
		return this.isFailing(manifest) || (this.#reportedUntil.get(manifest) ?? Number.NEGATIVE_INFINITY) > this.#clock.monotonic();
	}

	/** Whether a read may begin now. While reads fail, they begin one after the other to find out when the origin is back. */
	mayRead(manifest: string): boolean {
		const failure = this.#failureOf(manifest);
		const now = this.#clock.monotonic();
		if (failure && now - failure.probedAt < ORIGIN_PROBE_INTERVAL_MS) {
			return false;
		}

		if (failure) {
			failure.probedAt = now;
		}

		return true;
	}

	/** Records that a read of this member failed. */
	recordFailure(manifest: string): void {
		const now = this.#clock.monotonic();
		this.#failedReads.set(manifest, {until: now + ORIGIN_AWAY_MS, probedAt: this.#failureOf(manifest)?.probedAt ?? now});
	}

	/** Records that a source outside the region waits for the origin. */
	recordReport(manifest: string): void {
		this.#reportedUntil.set(manifest, this.#clock.monotonic() + ORIGIN_AWAY_MS);
	}

	/** Records that a read of this member succeeded. */
	recordAnswer(manifest: string): void {
		this.#failedReads.delete(manifest);
		this.#reportedUntil.delete(manifest);
	}

	#failureOf(manifest: string): FailedReads | undefined {
		const failure = this.#failedReads.get(manifest);
		if (failure && failure.until <= this.#clock.monotonic()) {
			this.#failedReads.delete(manifest);
			return undefined;
		}

		return failure;
	}
}
