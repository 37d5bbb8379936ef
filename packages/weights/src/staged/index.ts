/** Weights for engines that load a version from pieces in a staging area beside them. */
export type * from './types.js';
export {DIGEST_READERS} from './constants.js';
export {
	StagedWeightManager, type EngineStatus, type StagedTarget, type StagedWeightManagerOptions,
} from './staged-weight-manager.js';
