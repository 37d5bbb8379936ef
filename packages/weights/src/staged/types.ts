import type {Outcome} from '@yuccawood/interfaces';

/** Model and version that an engine holds in full. */
export type ModelVersion = {
	readonly name: string;
	readonly version: number;
};

export type StagedEngineState = {
	/** Unix milliseconds of the start of the engine, if told. */
	readonly startedAt: number | undefined;
	readonly model: ModelVersion | undefined;

	/** An order is in progress. */
	readonly isBusy: boolean;

	/** Orders accepted since the start. */
	readonly orders: number;
	readonly running: number;
	readonly waiting: number;

	/** Above 1 when the engine is slower than its kind. */
	readonly pace: number;
};

/** `conflict`: the order does not fit the state, or other orders came first. */
export type StartOutcome = 'begun' | 'in-effect' | 'conflict';

export type StartOrder = {
	readonly model: string;
	readonly version: number;

	/** Orders accepted so far; the engine refuses when there were others. */
	readonly expectedOrders: number;

	/** Whether running requests are cut; otherwise the load begins after their end. */
	readonly cutsRunning: boolean;
};

/** An engine that loads a version from pieces that are staged beside it. It does not check them. */
export interface StagedEngine {
	readonly state: () => Outcome<StagedEngineState>;
	readonly putPiece: (model: string, index: number, data: Uint8Array) => Outcome<void>;

	/** @returns nothing when no such piece is staged. */
	readonly readPiece: (model: string, index: number) => Outcome<Uint8Array | undefined>;

	/** Loads what is staged. */
	readonly start: (order: StartOrder) => Outcome<StartOutcome>;
}

/** SHA-256 of each piece of a version, in hexadecimal digits. */
export type VersionDigests = {
	readonly model: string;
	readonly version: number;
	readonly pieceBytes: number;
	readonly digests: readonly string[];
};

/** An origin that names pieces by version and index. Its answers may be corrupt. */
export interface VersionedOrigin {
	readonly digests: (model: string, version: number) => Outcome<VersionDigests>;
	readonly piece: (model: string, version: number, index: number, signal?: AbortSignal) => Outcome<Uint8Array>;
}
