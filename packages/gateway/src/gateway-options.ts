/** What an entry's gateway is created from. */
import type {
	Clock, Log, Metrics, Random,
} from '@yuccawood/common';
import type {CrashPeers} from '@yuccawood/crashes';
import type {FleetView} from '@yuccawood/fleet';
import type {ProbeOutcome} from '@yuccawood/dispatch';
import type {HeaderCodec} from './types.js';

export type GatewayOptions = {
	readonly view: FleetView;
	readonly codec: HeaderCodec;

	/** Id of this entry in the list of entries. */
	readonly selfId: string;
	readonly failureDomain: string;

	/** Region of each failure domain. By default none is known. */
	readonly regions?: () => ReadonlyMap<string, string>;

	/** What all entries together may send a cold upstream: its tolerance times the factor, and so many more. By default nothing bounds it. */
	readonly coldBound?: () => {readonly factor: number; readonly slack: number} | undefined;

	/** Staleness bound: see {@link GatewayContext.versionBoundMs}. */
	readonly versionBoundMs: number;

	/** Retry budget of each service. */
	readonly retryBudget: {readonly windowMs: number; readonly ratio: number; readonly slack: number};

	/** Shares the number of crashes of a blocked suspect with entries that start later; 0 ends the block. */
	readonly shareCrashCount: (id: string, crashes: number) => void;

	/** Way to the other entries to learn what they see of crashes. None if absent. */
	readonly crashPeers?: CrashPeers;

	/** Calls the agent on the VM of an engine's address, `IP:port`, to find out whether the path delivers. No probes if absent. */
	readonly probePath?: (address: string) => Promise<ProbeOutcome>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};
