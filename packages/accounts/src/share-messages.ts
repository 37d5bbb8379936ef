/** Messages of `accounts.share` between an entry and the home entry of an account. */

/** Demand of one entry for one account. Rates are requests per second. */
export type DemandReport = {
	readonly account: string;
	readonly rateDemand: number;
	readonly concurrentDemand: number;

	/** Requests running or waiting at the entry. */
	readonly inUse: number;

	/** Share that the entry holds now; 0 if it holds none. */
	readonly heldRate: number;
	readonly heldConcurrent: number;
};

export type Share = {
	readonly account: string;
	readonly rate: number;
	readonly concurrent: number;
};

export type ShareRequest = {
	readonly entry: string;
	readonly reports: readonly DemandReport[];
};

export type ShareAnswer = {
	readonly shares: readonly Share[];
};

/** Limits of an account over all entries. */
export type Limits = {
	readonly rate: number;
	readonly concurrent: number;
};
