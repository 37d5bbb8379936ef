/** Impairments around the processes, with the times for which the promises with a bound allow for them. */
import type {Interval} from './types.js';

/**
`store`: the store, for all. `link`: a path was cut, delayed or silent. `reset`: connections were reset.
`origin`: the origin of weights was away or spoilt pieces. `upstream`: an upstream failed, restarted or was off.
*/
export type DisruptionKind = 'store' | 'link' | 'reset' | 'origin' | 'upstream';

type Disruption = {readonly kind: DisruptionKind; readonly from: number; to: number};

export class Disruptions {
	readonly #all: Disruption[] = [];
	readonly #now: () => number;

	constructor({now}: {readonly now: () => number}) {
		this.#now = now;
	}

	/** A disruption of a moment. */
	note(kind: DisruptionKind): void {
		this.#all.push({kind, from: this.#now(), to: this.#now()});
	}

	/** A disruption that lasts as long as the work. */
	async during(kind: DisruptionKind, work: () => Promise<void>): Promise<void> {
		const disruption: Disruption = {kind, from: this.#now(), to: Number.POSITIVE_INFINITY};
		this.#all.push(disruption);
		await work();
		disruption.to = this.#now();
	}

	/** @param afterMs time by which each is prolonged */
	of(kinds: readonly DisruptionKind[], afterMs = 0): readonly Interval[] {
		return this.#all.filter(({kind}) => kinds.includes(kind)).map(({from, to}) => ({from, to: to + afterMs}));
	}
}

/** Longest time within the interval that no disruption touches. */
export const longestCalm = ({from, to}: Interval, disruptions: readonly Interval[]): number => {
	let calmFrom = from;
	let longest = 0;
	for (const disruption of [...disruptions].sort((a, b) => a.from - b.from)) {
		if (disruption.from < to && disruption.to > calmFrom) {
			longest = Math.max(longest, disruption.from - calmFrom);
			calmFrom = disruption.to;
		}
	}

	return Math.max(longest, to - calmFrom);
};
