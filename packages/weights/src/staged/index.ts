/** Weights for engines that load a version from pieces in a staging area beside them. */
export type * from './types.js';
export {ORIGIN_DIGEST_READER_COUNT} from './constants.js';
export {StagedWeightManager} from './staged-weight-manager.js';
export type {StagedEngineStatus, StagedTargetVersion, StagedWeightManagerOptions} from './staged-weight-manager-options.js';
