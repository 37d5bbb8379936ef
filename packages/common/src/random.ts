import seedrandom from 'seedrandom';

/** Source of random numbers, seeded in tests. */
export interface Random {
	/** A number from 0 up to but not including 1. */
	readonly next: () => number;

	/** A whole number from 0 up to but not including the limit. */
	readonly below: (limit: number) => number;

	/** Up to `count` different items in random order. */
	readonly sample: <Item>(items: readonly Item[], count: number) => readonly Item[];
}

const fromGenerator = (next: () => number): Random => {
	const below = (limit: number): number => Math.floor(next() * limit);
	const sample = <Item>(items: readonly Item[], count: number): readonly Item[] => {
		const pool = [...items];
		const wanted = Math.min(count, pool.length);
		for (let i = 0; i < wanted; i++) {
			const j = i + below(pool.length - i);
			[pool[i], pool[j]] = [pool[j], pool[i]];
		}

		return pool.slice(0, wanted);
	};

	return {next, below, sample};
};

/** Repeatable random numbers: the same seed gives the same sequence. */
export const seededRandom = (seed: string | number): Random => fromGenerator(seedrandom.alea(String(seed)));

export const systemRandom = (): Random => fromGenerator(Math.random);
