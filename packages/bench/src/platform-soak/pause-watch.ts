/** Times in which the soak itself, with its callers and upstreams, stood still. What happened in them is seen later. */
import type {Interval} from './types.js';

const INTERVAL_MS = 10;

export class PauseWatch {
	readonly #pauses: Interval[] = [];
	readonly #timer: NodeJS.Timeout;

	constructor({now}: {readonly now: () => number}) {
		let due = now() + INTERVAL_MS;
		this.#timer = setInterval(() => {
			if (now() > due) {
				this.#pauses.push({from: due, to: now()});
			}

			due = now() + INTERVAL_MS;
		}, INTERVAL_MS);
	}

	get longestMs(): number {
		return Math.max(0, ...this.#pauses.map(({from, to}) => to - from));
	}

	/** Time within the interval in which nothing was seen, in milliseconds. */
	readonly within = ({from, to}: Interval): number => {
		let sum = 0;
		for (const pause of this.#pauses) {
			sum += Math.max(0, Math.min(to, pause.to) - Math.max(from, pause.from));
		}

		return sum;
	};

	close(): void {
		clearInterval(this.#timer);
	}
}
