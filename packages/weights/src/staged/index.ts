/** Weights for engines that load a version from pieces in a staging area beside them. */
export type * from './types.js';
export {ORIGIN_DIGEST_READER_COUNT as DIGEST_READERS} from './constants.js';
export {
	StagedWeightManager, type StagedEngineStatus as EngineStatus, type StagedTargetVersion as StagedTarget, type StagedWeightManagerOptions,
} from './staged-weight-manager.js';
