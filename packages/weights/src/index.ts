/** Manifests, chunks, transfers between peers, activation. */
export type {
	ServingVersions, WeightManagerOptions, WeightSettings, WeightStatus,
} from './types.js';
export {WeightManager} from './weight-manager.js';
export {
	chunkSize, encodeManifest, parseManifest, type Manifest,
} from './manifest.js';
export {ChunkError, ManifestError, RolloutError} from './errors.js';
export * from './staged/index.js';
