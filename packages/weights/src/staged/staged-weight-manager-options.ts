/** Options of the staged weight manager, and what it reports of its engine. */
import type {
	Clock, Log, Metrics, PeerServer, Random,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import type {WeightSettings} from '../types.js';
import type {
	ModelVersion, StagedEngine, StagedEngineState, VersionedOrigin,
} from './types.js';

/** A version that was set as the target, and when this agent learned of it. */
export type StagedTargetVersion = ModelVersion & {
	/** Monotonic milliseconds. */
	readonly learnedAt: number;
};

export type StagedEngineStatus = {
	/** Last state of the engine; undefined while it does not answer. */
	readonly state: StagedEngineState | undefined;

	/** Whether the engine is about to load a version or loads one; entries send it no requests meanwhile. */
	readonly isSwitching: boolean;
};

export type StagedWeightManagerOptions = {
	readonly selfId: string;
	readonly service: string;
	readonly members: MemberTable;

	/** Waits until other members are known: an agent that knows none reads the digests from the origin itself. */
	readonly waitForMembers?: () => Promise<void>;

	/** Updates the member table; when that fails, the last one is used. */
	readonly refreshMembers: () => Promise<void>;

	/** Versions that were set as the target, oldest first; the last one is the current target. */
	readonly targets: () => readonly StagedTargetVersion[];

	/** Whether all requests to the engine may be interrupted, since other engines can continue or retry them. */
	readonly canInterruptRequests: () => boolean;

	/** Updates whether requests may be interrupted, before any are; when that fails, the last answer is used. */
	readonly refreshCanInterruptRequests?: () => Promise<void>;
	readonly engine: StagedEngine;
	readonly origin: () => VersionedOrigin | undefined;

	/** Calls a method of a peer; undefined when the peer does not answer. */
	readonly askPeer: <Answer>(address: string, method: string, parameters: unknown) => Promise<Answer | undefined>;

	/** Handlers are registered by the constructor, so create the manager before the server listens. */
	readonly peerServer: PeerServer;
	readonly settings: WeightSettings;

	/** Staleness bound: time from when a version is set as the target until every request must begin on it, in milliseconds. */
	readonly versionBoundMs: number;

	/** Time before the end of the staleness bound from which entries send no requests to an engine with an older version, in milliseconds. */
	readonly boundMarginMs: number;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};
