import type {
	Clock, Log, Metrics, PeerServer, Random, Result,
} from '@yuccawood/common';
import type {ConfigurationSource} from '@yuccawood/configuration';
import type {MemberTable, ServedVersion} from '@yuccawood/membership';
import type {ModelEngine, WeightOrigin} from '@yuccawood/interfaces';
import type {Stream} from 'most';
import type {ChunkPlanner} from './fetch-plan.js';

export type WeightSettings = {
	/** Line rate of this VM in each direction, in bytes per second. */
	readonly linkBytesPerSecond?: number;

	/** Share of the line rate that transfers may use now, above 0 and at most 1; all of it by default. */
	readonly linkShare?: () => number;

	/** Rate that the VMs of this region together may use towards other regions, in bytes per second. */
	readonly crossRegionBytesPerSecond?: number;

	/** Rate at which this agent may read from the origin, in bytes per second. */
	readonly originBytesPerSecond?: number;

	/** Longest pause after a failed read from the origin, in milliseconds. */
	readonly maxOriginRetryMs?: number;

	/** Region of the origin, as the configuration in force names it. */
	readonly storeRegion: () => string;

	/** Limit of the chunk store, in bytes. */
	readonly storeBytes?: number;

	/** Time for which a replaced version stays loaded and its chunks stay readable for late peers. */
	readonly releaseAfterMs?: number;

	/** Pause between two looks at the state of the engine. */
	readonly enginePollMs?: number;
};

/** What the exchange of chunks with the origin and the peers needs. */
export type ExchangeOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly members: MemberTable;
	readonly origin: WeightOrigin;

	/** Handlers are registered by the constructor, so create the exchange before the server listens. */
	readonly peerServer: PeerServer;
	readonly settings: WeightSettings;

	/** Chooses where each chunk comes from; by default one tree for each chunk. */
	readonly planner?: ChunkPlanner;

	/** Trade-off in force between origin bytes (0) and time (1). */
	readonly balance: () => number;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

export type WeightManagerOptions = {
	readonly selfId: string;

	/** Name of the model that the upstream of this agent serves. */
	readonly service: string;
	readonly members: MemberTable;
	readonly configuration: ConfigurationSource;
	readonly origin: WeightOrigin;
	readonly engine: ModelEngine;

	/** Gives the current fencing number, or the reason why the agent may not send commands now. */
	readonly fencing: () => Result<number, {readonly message: string}>;

	/** Handlers are registered by the constructor, so create the manager before the server listens. */
	readonly peerServer: PeerServer;
	readonly settings: WeightSettings;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log?: Log;
	readonly metrics: Metrics;
};

/** Versions that the upstream answers with: verified by this agent and active in the engine. */
export interface ServingVersions {
	/** Empty while the engine is down or has lost its weights. */
	readonly serving: readonly ServedVersion[];
	readonly changes: Stream<readonly ServedVersion[]>;
}

/** What one agent is doing with weights, as `weights.status` reports it. */
export type WeightStatus = {
	readonly serving: readonly ServedVersion[];

	/** Versions that are being fetched, loaded or waiting for their turn to switch. */
	readonly rollouts: ReadonlyArray<{readonly name: string; readonly version: string; readonly manifest: string}>;
	readonly held: readonly string[];
	readonly reservedBytes: number;
};
