/** Weights for engines that load what is staged beside them. */
export type * from './types.js';
export {DIGEST_READERS} from './constants.js';
export {
	StagedWeightManager, type EngineStatus, type StagedTarget, type StagedWeightManagerOptions,
} from './staged-weight-manager.js';
