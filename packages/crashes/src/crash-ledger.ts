/** Crashes and successes that this entry knows of, its own and those of other entries. Performs no I/O. */
import type {Clock} from '@yuccawood/common';
import {attributeCrashes} from './attribute-crashes.js';
import {
	CRASH_LIFETIME_MS, MAX_CRASHES, MAX_SUCCESSES, MAX_SUSPECTS_PER_CRASH, SIGN_OF_LIFE_MS,
} from './constants.js';
import type {Attribution, Crash, Suspect} from './types.js';

type RecordedCrash = Crash & {readonly suspects: Map<string, number>};

export class CrashLedger {
	/** Start of the observations. */
	readonly observedSince: number;
	readonly #clock: Clock;
	readonly #crashes = new Map<string, RecordedCrash>();

	/** Times of the latest successes by suspect, the oldest first. */
	readonly #successes = new Map<string, number>();

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
		this.observedSince = clock.monotonic();
	}

	/** Records what one entry saw of the end of one start of an upstream. */
	recordCrash(upstream: string, suspects: readonly Suspect[], at: number): void {
		const known = this.#crashes.get(upstream);
		const crash: RecordedCrash = {upstream, at: Math.min(at, known?.at ?? at), suspects: known?.suspects ?? new Map<string, number>()};
		for (const {id, depth} of suspects) {
			if (crash.suspects.size < MAX_SUSPECTS_PER_CRASH) {
				crash.suspects.set(id, depth);
			}
		}

		this.#crashes.delete(upstream);
		this.#crashes.set(upstream, crash);
		this.#forgetOldCrashes();
	}

	recordSuccess(id: string, at: number): void {
		const latest = Math.max(at, this.lastSuccessAt(id) ?? at);
		this.#successes.delete(id);
		this.#successes.set(id, latest);
		if (this.#successes.size > MAX_SUCCESSES) {
			this.#successes.delete(this.#successes.keys().next().value!);
		}
	}

	lastSuccessAt(id: string): number | undefined {
		return this.#successes.get(id);
	}

	/** Forgets the crash of an upstream that has sent data afterwards. */
	recordSignOfLife(upstream: string, at: number): void {
		const crash = this.#crashes.get(upstream);
		if (crash && at > crash.at + SIGN_OF_LIFE_MS) {
			this.#crashes.delete(upstream);
		}
	}

	/** Suspects that explain at least `minCrashes` crashes. */
	attributions(minCrashes: number): readonly Attribution[] {
		this.#forgetOldCrashes();
		return attributeCrashes([...this.#crashes.values()], {lastSuccessAt: id => this.lastSuccessAt(id), observedSince: this.observedSince, minCrashes});
	}

	/** Whether the suspect was present at a crash. */
	isSuspected(id: string): boolean {
		return [...this.#crashes.values()].some(({suspects}) => suspects.has(id));
	}

	/** Keys of the upstreams that crashed with the suspect present, without a success since. */
	crashedUnder(id: string): readonly string[] {
		const successAt = this.lastSuccessAt(id) ?? Number.NEGATIVE_INFINITY;
		return [...this.#crashes.values()].filter(({suspects, at}) => suspects.has(id) && at > successAt).map(({upstream}) => upstream);
	}

	#forgetOldCrashes(): void {
		const oldest = this.#clock.monotonic() - CRASH_LIFETIME_MS;
		for (const [upstream, {at}] of this.#crashes) {
			if (at < oldest || this.#crashes.size > MAX_CRASHES) {
				this.#crashes.delete(upstream);
			}
		}
	}
}
