/**
Max-min fair division of a limit: a demand gets less than it asks for only if no other one gets more.

What remains after all demands is divided evenly among `partyCount` parties. Parties without a demand count too; their parts stay unused.

@returns one share per demand, in the order of the demands; their sum does not exceed the limit.
*/
export const maxMinShares = (limit: number, demands: readonly number[], partyCount = demands.length): readonly number[] => {
	const shares = demands.map(() => 0);
	const order = demands.map((demand, index) => ({demand, index})).sort((a, b) => a.demand - b.demand);
	let remaining = limit;
	for (const [position, {demand, index}] of order.entries()) {
		const share = Math.min(demand, remaining / (order.length - position));
		shares[index] = share;
		remaining -= share;
	}

	return shares.map(share => share + (remaining / Math.max(partyCount, shares.length)));
};

/** Max-min fair division in whole units. The units left after rounding down go to the shares with the largest fractions, and among equal fractions to the first. */
export const wholeMaxMinShares = (limit: number, demands: readonly number[], partyCount = demands.length): readonly number[] => {
	const exact = maxMinShares(Math.floor(limit), demands, partyCount);
	const shares = exact.map(share => Math.floor(share + ROUNDING_TOLERANCE));
	const total = Math.floor(exact.reduce((sum, share) => sum + share, ROUNDING_TOLERANCE));
	let remaining = total - shares.reduce((sum, share) => sum + share, 0);
	const byFraction = exact.map((share, index) => ({fraction: share - shares[index], index})).sort((a, b) => b.fraction - a.fraction);
	for (const {index} of byFraction) {
		if (remaining < 1) {
			break;
		}

		shares[index]++;
		remaining--;
	}

	return shares;
};

/** A sum of fractions can miss a whole number by a floating-point rounding error. */
const ROUNDING_TOLERANCE = 1e-9;
