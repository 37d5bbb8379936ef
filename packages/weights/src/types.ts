import type {
	Clock, Log, Metrics, PeerServer, Random, Result,
} from '@yuccawood/common';
import type {ConfigurationSource} from '@yuccawood/configuration';
import type {MemberTable, ServedVersion} from '@yuccawood/membership';
import type {ModelEngine, WeightOrigin} from '@yuccawood/interfaces';
import type {Stream} from 'most';
import type {ChunkPlanner} from './fetch-plan.js';

export type WeightSettings = {
	/** Line rate of this VM in each direction, in bytes per second; unlimited by default. */
	readonly linkBytesPerSecond?: number;

	/** Share of the line rate that transfers may use now, above 0 and at most 1; 1 by default. */
	readonly linkShare?: () => number;

	/**
	Rate that all VMs of this region together may use for fetches from other regions, in bytes per second; unlimited by
	default.
	*/
	readonly crossRegionBytesPerSecond?: number;

	/** Rate at which this agent may fetch from the origin, in bytes per second; unlimited by default. */
	readonly originBytesPerSecond?: number;

	/** Time for which a member that does not fetch a version is asked for its chunks, in milliseconds; 3000 by default. */
	readonly absentTimeoutMs?: number;

	/** Longest pause after a failed fetch from the origin, in milliseconds. */
	readonly maxOriginRetryMs?: number;

	/** Region of the origin in the current configuration. */
	readonly storeRegion: () => string;

	/** Largest total size of the chunks in the store, in bytes. */
	readonly storeBytes?: number;

	/** Time for which a replaced version stays loaded and slower peers can still fetch its chunks, in milliseconds. */
	readonly releaseAfterMs?: number;

	/** Interval at which the state of the engine is polled, in milliseconds. */
	readonly enginePollMs?: number;
};

/** Dependencies and settings for transfers of chunks from the origin and between peers. */
export type WeightExchangeOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly members: MemberTable;
	readonly origin: WeightOrigin;

	/** The constructor registers its handlers here, so it must be called before the server listens. */
	readonly peerServer: PeerServer;
	readonly settings: WeightSettings;

	/** Chooses the source of each chunk; by default with one tree for each chunk. */
	readonly planner?: ChunkPlanner;

	/** Returns `rollout.balance` of the current configuration, from 0 (fewest bytes from the origin) to 1 (shortest time). */
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

	/** Returns the current fencing number, or the reason why the agent must not send commands now. */
	readonly fencing: () => Result<number, {readonly message: string}>;

	/** The constructor registers its handlers here, so it must be called before the server listens. */
	readonly peerServer: PeerServer;
	readonly settings: WeightSettings;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log?: Log;
	readonly metrics: Metrics;
};

/** Versions that the upstream serves: verified by this agent and active in the engine. */
export interface ServingVersions {
	/** Empty while the engine is down or has lost its weights. */
	readonly serving: readonly ServedVersion[];
	readonly changes: Stream<readonly ServedVersion[]>;
}

/** State of the weights of one agent, as the peer method `weights.status` returns it. */
export type WeightStatus = {
	readonly serving: readonly ServedVersion[];

	/** Versions that are being fetched or loaded, or that wait for a slot in the switch order. */
	readonly rollouts: ReadonlyArray<{readonly name: string; readonly version: string; readonly manifest: string}>;

	/** Hashes of the manifests whose chunks are all in the store. */
	readonly held: readonly string[];

	/** Total size of the chunks of all retained manifests. */
	readonly reservedBytes: number;
};
