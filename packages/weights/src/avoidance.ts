import type {Clock} from '@yuccawood/common';

/** Members that are not asked for a while, for everything or for one subject only. */
export class Avoidance {
	readonly #clock: Clock;
	readonly #until = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Avoids a member for some time; `subject` limits that to one version or chunk. */
	avoid(id: string, milliseconds: number, subject = ''): void {
		const key = `${subject}/${id}`;
		const until = this.#clock.monotonic() + milliseconds;
		this.#until.set(key, Math.max(until, this.#until.get(key) ?? 0));
	}

	isAvoided(id: string, subject = ''): boolean {
		const key = `${subject}/${id}`;
		const until = this.#until.get(key);
		if (until === undefined) {
			return false;
		}

		if (until > this.#clock.monotonic()) {
			return true;
		}

		this.#until.delete(key);
		return false;
	}

	/** Forgets the members avoided for one subject. */
	clear(subject: string): void {
		for (const key of this.#until.keys()) {
			if (key.startsWith(`${subject}/`)) {
				this.#until.delete(key);
			}
		}
	}
}
