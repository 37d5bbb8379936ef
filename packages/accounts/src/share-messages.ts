/**
Messages of `accounts.share` between an entry and the home entry of an account.

Reports and shares travel as arrays, because an entry sends them for each account in use.
*/

/** Demand of one entry for one account. Rates are requests per second. */
export type DemandReport = {
	readonly account: string;
	readonly rateDemand: number;
	readonly concurrentDemand: number;

	/** Part of the limit that requests at the entry use now. */
	readonly inUse: number;

	/** Share that the entry holds now; 0 if it holds none. */
	readonly heldRate: number;
	readonly heldConcurrent: number;
};

export type Share = {
	readonly account: string;
	readonly rate: number;
	readonly concurrent: number;

	/** Time for which the share is valid, in milliseconds; the entry reports several times in it. */
	readonly validMs: number;
};

/** `[account, rateDemand, concurrentDemand, inUse, heldRate, heldConcurrent]` */
export type ReportRow = readonly [string, number, number, number, number, number];

/** `[account, rate, concurrent, validMs]` */
export type ShareRow = readonly [string, number, number, number];

export type ShareRequest = {
	readonly entry: string;
	readonly reports: readonly ReportRow[];
};

export type ShareAnswer = {
	readonly shares: readonly ShareRow[];
};

/** Numbers in messages have three decimals, which keeps them short. Shares are rounded down so that their sum stays within the limit. */
const upToThousandths = (value: number): number => Math.ceil(value * 1000) / 1000;
const downToThousandths = (value: number): number => Math.floor(value * 1000) / 1000;

export const reportRow = ({account, rateDemand, concurrentDemand, inUse, heldRate, heldConcurrent}: DemandReport): ReportRow =>
	[account, upToThousandths(rateDemand), concurrentDemand, inUse, heldRate, heldConcurrent];

export const readReportRow = ([account, rateDemand, concurrentDemand, inUse, heldRate, heldConcurrent]: ReportRow): DemandReport => ({
	account, rateDemand, concurrentDemand, inUse, heldRate, heldConcurrent,
});

export const shareRow = ({account, rate, concurrent, validMs}: Share): ShareRow => [account, downToThousandths(rate), concurrent, validMs];

export const readShareRow = ([account, rate, concurrent, validMs]: ShareRow): Share => ({
	account, rate, concurrent, validMs,
});

/** Limits of an account over all entries. */
export type Limits = {
	readonly rate: number;
	readonly concurrent: number;
};
