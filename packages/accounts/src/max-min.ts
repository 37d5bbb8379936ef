/**
Max-min fair division of a limit: nobody gets less than another one that wants no more.

What is left after all demands is divided evenly among `parties`, which may include some without a demand; their parts stay free.

@returns one share for each demand; their sum does not exceed the limit.
*/
export const maxMinShares = (limit: number, demands: readonly number[], parties = demands.length): readonly number[] => {
	const shares = demands.map(() => 0);
	const order = demands.map((demand, index) => ({demand, index})).sort((a, b) => a.demand - b.demand);
	let rest = limit;
	for (const [position, {demand, index}] of order.entries()) {
		const share = Math.min(demand, rest / (order.length - position));
		shares[index] = share;
		rest -= share;
	}

	return shares.map(share => share + (rest / Math.max(parties, shares.length)));
};

/** Max-min fair division in whole units. Units that remain after rounding down go to the largest fractions, earlier ones first. */
export const wholeMaxMinShares = (limit: number, demands: readonly number[], parties = demands.length): readonly number[] => {
	const exact = maxMinShares(Math.floor(limit), demands, parties);
	const shares = exact.map(share => Math.floor(share + ROUNDING_TOLERANCE));
	const total = Math.floor(exact.reduce((sum, share) => sum + share, ROUNDING_TOLERANCE));
	let rest = total - shares.reduce((sum, share) => sum + share, 0);
	const byFraction = exact.map((share, index) => ({fraction: share - shares[index], index})).sort((a, b) => b.fraction - a.fraction);
	for (const {index} of byFraction) {
		if (rest < 1) {
			break;
		}

		shares[index]++;
		rest--;
	}

	return shares;
};

/** Sums of fractions can fall short of a whole number by the precision of floating-point numbers. */
const ROUNDING_TOLERANCE = 1e-9;
