import type {Clock} from '@yuccawood/common';

/** Members that are not asked for some time, either for anything or for one version or chunk only. */
export class AvoidedPeers {
	readonly #clock: Clock;

	/** Monotonic end of each avoidance, in milliseconds, by scope and member id. */
	readonly #avoidedUntil = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Avoids a member for some time. `scope` limits that to one version or chunk, given by its hash. */
	avoid(id: string, milliseconds: number, scope = ''): void {
		const key = `${scope}/${id}`;
		const until = this.#clock.monotonic() + milliseconds;
		this.#avoidedUntil.set(key, Math.max(until, this.#avoidedUntil.get(key) ?? 0));
	}

	isAvoided(id: string, scope = ''): boolean {
		const key = `${scope}/${id}`;
		const until = this.#avoidedUntil.get(key);
		if (until === undefined) {
			return false;
		}

		if (until > this.#clock.monotonic()) {
			return true;
		}

		this.#avoidedUntil.delete(key);
		return false;
	}

	/** Ends the avoidance of all members for one version or chunk. */
	clear(scope: string): void {
		for (const key of this.#avoidedUntil.keys()) {
			if (key.startsWith(`${scope}/`)) {
				this.#avoidedUntil.delete(key);
			}
		}
	}
}
