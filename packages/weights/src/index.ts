/** Distribution of model versions: manifests, chunks, transfers between peers, loading and activation in the engine. */
export type {
	ServingVersions, WeightManagerOptions, WeightSettings, WeightStatus,
} from './types.js';
export {WeightManager} from './weight-manager.js';
export {
	chunkSize, encodeManifest, parseManifest, type Manifest,
} from './manifest.js';
export {ChunkError, ManifestError, RolloutError} from './errors.js';
export * from './staged/index.js';
