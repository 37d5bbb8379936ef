import type {Outcome} from '@yuccawood/interfaces';

/** A version of a model. */
export type ModelVersion = {
	readonly name: string;
	readonly version: number;
};

/** State of an engine, as it reports it. */
export type StagedEngineState = {
	/** Start of the engine in Unix milliseconds; undefined when the engine does not report it. */
	readonly startedAt: number | undefined;

	/** The loaded version; undefined when none is loaded. */
	readonly model: ModelVersion | undefined;

	/** Whether the engine is executing an order to load a version. */
	readonly isBusy: boolean;

	/** Number of orders accepted since the start of the engine. */
	readonly orders: number;

	/** Number of requests that the engine processes. */
	readonly running: number;

	/** Number of requests in the queue of the engine. */
	readonly waiting: number;

	/** Factor by which the engine is slower than others of its kind; 1 is normal speed. */
	readonly pace: number;
};

/**
Answer to an order: `begun` when the load has begun, `in-effect` when the version is loaded or being loaded already, and
`conflict` when the order does not fit the state of the engine or the engine has accepted other orders meanwhile.
*/
export type LoadOrderOutcome = 'begun' | 'in-effect' | 'conflict';

/** Order to load the staged version. */
export type LoadOrder = {
	readonly model: string;
	readonly version: number;

	/** Value of `orders` in the last known state; the engine refuses the order when its own count differs. */
	readonly expectedOrders: number;

	/** Whether running requests are interrupted; otherwise the load begins after they have ended. */
	readonly cutsRunning: boolean;
};

/**
An engine that loads a version from pieces in a staging area beside it. It does not check the pieces: the caller must
verify them before it orders the load.
*/
export interface StagedEngine {
	/** @returns the current state of the engine */
	readonly state: () => Outcome<StagedEngineState>;

	/** Writes one piece into the staging area and replaces an earlier piece with the same index. */
	readonly putPiece: (model: string, index: number, data: Uint8Array) => Outcome<void>;

	/** @returns the bytes of the staged piece, or undefined when there is none with this index */
	readonly readPiece: (model: string, index: number) => Outcome<Uint8Array | undefined>;

	/** Orders the engine to load the staged pieces. */
	readonly start: (order: LoadOrder) => Outcome<LoadOrderOutcome>;
}

/** Digests of the pieces of a version. */
export type VersionDigests = {
	readonly model: string;
	readonly version: number;

	/** Size of each piece. */
	readonly pieceBytes: number;

	/** SHA-256 of each piece in lowercase hexadecimal, in the order of the pieces. */
	readonly digests: readonly string[];
};

/**
An origin that addresses the pieces of a version by their index. A piece is the same data as a chunk, which is addressed
by its hash. Answers of the origin may be corrupt, so the caller must verify them.
*/
export interface VersionedOrigin {
	readonly digests: (model: string, version: number) => Outcome<VersionDigests>;
	readonly piece: (model: string, version: number, index: number, signal?: AbortSignal) => Outcome<Uint8Array>;
}
