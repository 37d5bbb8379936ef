/**
Messages of `accounts.share`, the call by which an entry reports demand to a home entry and gets its shares.

A home entry divides the limits of an account, or the capacity of a pool, among all entries. Reports and shares are encoded as arrays to
keep messages small, because an entry sends one for each account and pool in use.
*/

/** Demand of one entry for one account or pool. Rates are in requests per second. */
export type DemandReport = {
	readonly account: string;
	readonly rateDemand: number;
	readonly concurrentDemand: number;

	/** Concurrent requests that count towards the limit at the entry now. */
	readonly inUse: number;

	/** Share that the entry holds now; both values are 0 if it holds none. */
	readonly heldRate: number;
	readonly heldConcurrent: number;
};

/** Part of an account's limits, or of a pool's capacity, that one entry may use. */
export type Share = {
	readonly account: string;
	readonly rate: number;
	readonly concurrent: number;

	/** Milliseconds for which the share is valid; the entry reports several times before they are over. */
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

/** Rates in messages have at most three decimals, to keep messages small. Shares are rounded down so that their sum stays within the limit. */
const ceilToThousandths = (value: number): number => Math.ceil(value * 1000) / 1000;
const floorToThousandths = (value: number): number => Math.floor(value * 1000) / 1000;

export const encodeReport = ({account, rateDemand, concurrentDemand, inUse, heldRate, heldConcurrent}: DemandReport): ReportRow =>
	[account, ceilToThousandths(rateDemand), concurrentDemand, inUse, heldRate, heldConcurrent];

export const decodeReport = ([account, rateDemand, concurrentDemand, inUse, heldRate, heldConcurrent]: ReportRow): DemandReport => ({
	account, rateDemand, concurrentDemand, inUse, heldRate, heldConcurrent,
});

export const encodeShare = ({account, rate, concurrent, validMs}: Share): ShareRow => [account, floorToThousandths(rate), concurrent, validMs];

export const decodeShare = ([account, rate, concurrent, validMs]: ShareRow): Share => ({
	account, rate, concurrent, validMs,
});

/** Rate in requests per second, and number of concurrent requests. */
export type Limits = {
	readonly rate: number;
	readonly concurrent: number;
};
