/** What an entry's gateway is created from. */
import type {
	Clock, Log, Metrics, Random,
} from '@yuccawood/common';
import type {FleetView} from '@yuccawood/fleet';
import type {HeaderCodec} from './types.js';

export type GatewayOptions = {
	readonly view: FleetView;
	readonly codec: HeaderCodec;

	/** Id of this entry in the list of entries. */
	readonly selfId: string;
	readonly failureDomain: string;

	/** Staleness bound: see {@link GatewayContext.versionBoundMs}. */
	readonly versionBoundMs: number;

	/** Retry budget of each service. */
	readonly retryBudget: {readonly windowMs: number; readonly ratio: number; readonly slack: number};

	/** Shares the crash count of a request with the other entries. */
	readonly shareCrashCount: (fingerprint: string, crashes: number) => void;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};
