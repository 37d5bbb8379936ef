import type {StagedTargetVersion} from './staged-weight-manager-options.js';

/** A rollout in progress. A newer one runs beside it and may cancel it, but the two versions are loaded one after the other. */
export type ActiveRollout = {
	readonly target: StagedTargetVersion;
	readonly controller: AbortController;

	/** Whether all pieces are held. */
	hasPieces: boolean;

	/** Hash of the manifest; undefined while the digests are not known. */
	manifest: string | undefined;

	/** Resolves when all pieces are held, or when the rollout ends without them. */
	readonly piecesDone: Promise<void>;

	/** Resolves when the rollout ends. */
	readonly done: Promise<void>;
};
