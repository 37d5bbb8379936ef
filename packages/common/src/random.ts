import seedrandom from 'seedrandom';

/** Source of random numbers. Tests use a seeded one. */
export interface Random {
	/** A number from 0 up to but not including 1. */
	readonly next: () => number;

	/** An integer from 0 up to but not including the limit. */
	readonly nextInteger: (limit: number) => number;

	/** `count` items at different positions in random order, or all items if there are fewer. */
	readonly sample: <Item>(items: readonly Item[], count: number) => readonly Item[];
}

const fromGenerator = (next: () => number): Random => {
	const below = (limit: number): number => Math.floor(next() * limit);
	const sample = <Item>(items: readonly Item[], count: number): readonly Item[] => {
		const shuffled = [...items];
		const size = Math.min(count, shuffled.length);
		for (let i = 0; i < size; i++) {
			const j = i + below(shuffled.length - i);
			[shuffled[i], shuffled[j]] = [shuffled[j], shuffled[i]];
		}

		return shuffled.slice(0, size);
	};

	return {next, nextInteger: below, sample};
};

/** Reproducible random numbers: the same seed gives the same sequence. */
export const seededRandom = (seed: string | number): Random => fromGenerator(seedrandom.alea(String(seed)));

/** Unseeded random numbers from `Math.random`. */
export const systemRandom = (): Random => fromGenerator(Math.random);
